Feature: Leaving backend servers under load

  # Guards against requests that reach a backend server more than 2 s after it left.
  Scenario: One backend server withdraws and another is drained while an entry is cut off
    Given the cooperative deployment with 6 backend servers of each service
    And a running load of lookups, idempotent and run-once requests
    And a load at entry-3, which is cut off from the other instances
    When stoc-1 withdraws only from entry-1
    And an immediate drain of stoc-4 is in force
    And more than the grace period has passed since both left
    Then the checker finds no violation
