Feature: Drains

  Background:
    Given availability zones "hame-1" and "hame-2" of region "hame" and "itasuomi-1" of region "itasuomi"
    And each of them has an entry and 2 backend servers of service "taulupalvelu" with 5 slots, 1 in use

  Scenario: The load of an availability zone moves at the pace of the drain and does not return
    When "hame-1" is drained over 10 seconds
    And 4 seconds pass
    Then "hame-1" is drained by 0.4
    And a backend server of "hame-1" is drained by 0.4
    And an entry of "hame-1" is drained by 0.4
    And region "hame" is drained by 0
    When 7 seconds pass
    Then "hame-1" is drained by 1
    When the backend servers of "hame-2" are full
    And 1 seconds pass
    Then "hame-1" is drained by 1

  Scenario: The drain of a region covers only its own availability zones
    When region "hame" is drained over 0 seconds
    Then "hame-1" is drained by 1
    And region "hame" is drained by 1
    And "itasuomi-1" is drained by 0

  Scenario: The drain of a backend server completes immediately, regardless of the pace
    When backend server "hame-1-a" is drained over 60 seconds
    Then backend server "hame-1-a" is drained by 1 and "hame-1-b" by 0

  Scenario: A drain without enough capacity elsewhere is rejected, and starts when there is capacity
    Given the backend servers of "hame-2" are full
    And the backend servers of "itasuomi-1" are full
    When "hame-1" is drained over 10 seconds
    And 5 seconds pass
    Then the drain is rejected because "Service taulupalvelu uses 2 slots on availability zone hame-1, and the backend servers that remain have 0 free."
    And "hame-1" is drained by 0
    When the backend servers of "itasuomi-1" have free slots
    And 1 seconds pass
    And 2 seconds pass
    Then "hame-1" is drained by 0.2

  Scenario: A drain pauses when the capacity elsewhere is exhausted, and is overdue after its deadline
    When "hame-1" is drained over 10 seconds with a deadline of 12 seconds
    And 3 seconds pass
    And the backend servers of "hame-2" are full
    And the backend servers of "itasuomi-1" are full
    And 5 seconds pass
    Then the drain is paused, and "hame-1" is drained by 0.3
    And the drain is not overdue
    When 5 seconds pass
    Then the drain is paused, and "hame-1" is drained by 0.3
    And the drain is overdue

  Scenario: The free slots of other drained backend servers are not counted
    When region "itasuomi" is drained over 0 seconds
    And the backend servers of "hame-2" are full
    And "hame-1" is drained over 0 seconds
    Then "hame-1" is drained by 0
    And "itasuomi-1" is drained by 1

  Scenario: The last region with an entry in service is not drained
    When region "hame" is drained over 0 seconds
    And region "itasuomi" is drained over 0 seconds
    Then "itasuomi-1" is drained by 0

  Scenario: A backend server that reports neither free slots nor load counts as full
    Given the backend servers of "hame-2" report neither free slots nor load
    And the backend servers of "itasuomi-1" report neither free slots nor load
    When "hame-1" is drained over 0 seconds
    Then "hame-1" is drained by 0

  # Guards against a restarted entry that sends requests to targets that were already drained.
  Scenario: A restarted entry treats a declared drain as complete
    When "hame-1" is drained over 600 seconds
    And the entry restarts
    Then "hame-1" is drained by 1

  Scenario: A deleted drain ends immediately
    When "hame-1" is drained over 0 seconds
    And the drains are deleted
    Then "hame-1" is drained by 0

  Scenario: The progress message names the entry that delays the drain
    When "hame-1" is drained over 0 seconds
    Then the progress with 3 requests of entry "entry-hame-2" on "hame-1-a" is "3 requests are in flight on availability zone hame-1, most of them from entry entry-hame-2."
    And the progress with 0 requests of entry "entry-hame-2" on "hame-1-a" is "No request is in flight on availability zone hame-1."
    And the progress without a report of entry "entry-hame-2" is "Entry entry-hame-2 has not reported."
