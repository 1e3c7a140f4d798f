Feature: Requests of entries to the leader of a run-once group

  Background:
    Given the leader of a group, in which "entry-1" has begun a key

  # Guards against keys of a dead process that stay in progress although its successor has reported.
  Scenario: The report of a new process ends the keys of the earlier one
    When "entry-2" begins the key
    Then it is told "inProgress"
    When a new process of "entry-1" reports its incarnation
    And "entry-2" begins the key
    Then it is told "unknown"

  # Guards against an entry that waits for room in vain while another entry could run its request.
  Scenario: An attempt that waits for room is told when another one wants its key
    When "entry-1" asks to be told of other attempts
    And "entry-2" begins another key
    Then "entry-1" has been told nothing
    When "entry-2" begins the key
    Then "entry-1" is told that the key is contended

  # Guards against a wait at a voter that no other attempt reaches.
  Scenario: Only the leader tells of other attempts
    When the group has another leader
    Then the question of "entry-1" for other attempts fails with "notLeader"

  # Guards against begins that wait for the syncs of outcomes, for which no caller waits.
  Scenario: An outcome is recorded with the next begin
    When "entry-1" reports the outcome "unknown"
    Then the group has been proposed "begin"
    When "entry-2" begins another key
    Then the group has been proposed "begin, begin, finish"

  # Guards against an outcome that is not recorded for want of further requests.
  Scenario: An outcome is recorded soon when no begin follows
    When "entry-1" reports the outcome "unknown"
    And 20 ms pass at the leader
    Then the group has been proposed "begin, finish"

  # Guards against a not-run answer that waits although its key could be free.
  Scenario: A refusal is recorded at once
    When "entry-1" reports the outcome "refused"
    Then the group has been proposed "begin, finish"
