Feature: Replicated state of a run-once group

  # Guards against replicas that diverge after a restart: the next leader would start a key a second time.
  Scenario: Random commands give the same replies on a replica that restarts from snapshots
    When 60 random histories of 200 commands are applied with seed 20261209
    Then the replies are the same with and without restarts
    And no key was started again before its attempt was rejected or its record expired
    And every completed key kept its stored response or became unknown

  # Guards against a second run of a key whose record has expired.
  Scenario: A key is rejected before its record expires, with clocks that differ by 5 minutes
    Given a state that allows 10 records
    When a key created at minute 0 begins at minute 0
    Then it is started
    When other attempts begin it again at minute 1445, 1455 and 2000
    Then it is never started again

  Scenario: A record in progress becomes unknown 10 s after its deadline
    Given a state that allows 10 records
    When a key begins with a deadline of 5 seconds
    And 14 seconds pass
    Then the result for another attempt is inProgress
    When 2 seconds pass
    Then the result for another attempt is unknown

  # Guards against a wait for an attempt that ended with the earlier process of its entry.
  Scenario: A record in progress becomes unknown when its entry reports a new incarnation
    Given a state that allows 10 records
    When a key begins with a deadline of 5 seconds
    And its entry reports a new incarnation
    Then the result for another attempt is unknown
    And the result for another key by the old incarnation is unknown

  # Guards against unbounded memory, and against the removal of records that are still needed when the limit is reached.
  Scenario: The number of records and the size of stored responses are limited
    Given a state that allows 10 records and 1000 bytes of stored responses
    When 10 keys begin and finish with responses of 300 bytes
    Then the result for an eleventh key is full
    And the stored responses take at most 1000 bytes
    And the result for the last key is completed and for the first unknown
    When 1456 minutes pass
    Then an eleventh key is started

  Scenario Outline: The age of a key is computed from the timestamp that it contains
    Then the key <key> at minute <minute> is <check>

    Examples:
      | key                                  | minute | check     |
      | 00000000-0000-7000-8000-000000000000 | 0      | valid     |
      | 00000000-0000-7000-8000-000000000000 | 1440   | valid     |
      | 00000000-0000-7000-8000-000000000000 | 1441   | tooOld    |
      | 00000005-7e40-7000-A000-000000000000 | 0      | inFuture  |
      | 00000004-93E0-7000-A000-000000000000 | 0      | valid     |
      | 00000000-0000-4000-8000-000000000000 | 0      | malformed |
      | 00000000-0000-7000-c000-000000000000 | 0      | malformed |
      | 00000000000070008000000000000000     | 0      | malformed |
