Feature: Guarantees of a single replica

  Scenario: A vote is durable before the reply and is granted only once per term
    Given a replica whose log ends at index 3 of term 2
    When "b" requests its vote in term 5
    Then the vote is granted and durable
    And after a restart "c" is denied the vote in term 5

  Scenario: After a restart a replica does not vote against a leader that it may have had contact with just before
    Given a replica whose log ends at index 3 of term 2
    Then a candidate is denied the vote until 600 ms after the start and granted it then

  Scenario: A candidate that lacks entries gets no vote
    Given a replica whose log ends at index 3 of term 2
    Then candidates whose logs end at index 2 of term 2 or index 9 of term 1 are denied the vote
    And candidates whose logs end at index 3 of term 2 or index 1 of term 3 are granted the vote

  Scenario: An entry of an earlier term is not committed by counting replicas
    Given a replica whose log ends at index 3 of term 2
    When it is elected and its peers have the log up to index 3 only
    Then it commits nothing
    When its peers have the log up to index 4
    Then it commits index 4

  Scenario: Applying a long log reads its entries once
    Given a replica whose log ends at index 2000 of term 2
    When it is elected and its peers have the log up to index 2001 only
    Then it has applied index 2001 and read at most 5000 entries in all

  # Guards against lookups and heartbeats that wait while a long change, or a log after a restart, is applied.
  Scenario: Other tasks run while many entries are applied
    Given a replica whose log ends at index 100 of term 2
    And applying an entry takes 3 ms
    When it is elected and its peers have the log up to index 101 only
    Then it has applied 100 entries, at most 2 in one turn of the event loop

  Scenario: A message of another group or with an invalid schema is rejected
    Given a replica whose log ends at index 3 of term 2
    Then a message of another group is rejected
    And a message with a negative term or a string payload does not match the schema
