Feature: Isolation of the control leader

  # Guards against a leader that does not notice its isolation and accepts changes or serves old state as fresh.
  Scenario: The control leader is silently isolated for longer than all leases, then reconnected
    Given the cooperative deployment with 6 backend servers of each service
    And operators that change 2 resources
    And a running load of lookups, idempotent and run-once requests
    When the control leader is silently isolated, and one operator keeps using it
    And each operator makes 3 more changes
    And the leases of the isolated instance have expired
    And the connections are healed
    Then the isolated instance accepted no change and served no fresh read
    When the isolated instance serves again
    Then the checker finds no violation

  # Guards against operators that are delayed at the isolated instance with every change.
  Scenario: The control leader is silently isolated while operators make many changes
    Given the cooperative deployment with 6 backend servers of each service
    And operators that change 2 resources
    And a running load of lookups, idempotent and run-once requests
    When the control leader is silently isolated, and one operator keeps using it
    And each operator makes 20 more changes
    And the leases of the isolated instance have expired
    And the connections are healed
    Then the isolated instance accepted no change and served no fresh read
    When the isolated instance serves again
    Then the checker finds no violation
