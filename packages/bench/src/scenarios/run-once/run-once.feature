Feature: Run-once requests under faults

  # Guards against a request that runs twice when copies reach several entries and a process with its record is killed.
  Scenario: Copies at several entries at once, across the kill of an entry and of the leader of a group
    Given the cooperative deployment with 6 backend servers of each service
    And a load of run-once requests that are each sent to 3 entries at once
    When the load completes 50 more requests
    And entry-2 is killed
    And control-1 is killed
    And the load completes 150 more requests
    Then the checker finds no violation
    And some responses were replayed
    And every idempotent request completed, and every run-once request completed or has an unknown outcome

  # Guards against an entry that runs requests although it cannot reach the group that stores their records.
  Scenario: An entry that is cut off from control runs no run-once request and serves idempotent ones
    Given the cooperative deployment with 6 backend servers of each service
    And a running load of lookups, idempotent and run-once requests
    When entry-3 is cut off from the other instances
    Then entry-3 holds no view lease
    And entry-3 serves idempotent requests and rejects run-once requests as not-run
    When the connections are healed
    Then entry-3 runs run-once requests again
    And the checker finds no violation
