Feature: Rolling restart of entries under load

  # Guards against a rolling restart that loses requests.
  Scenario: A rolling restart of all entries loses no request
    Given the cooperative deployment with 6 backend servers of each service
    And a running load of lookups, idempotent and run-once requests
    When all entries are stopped gracefully and started again, one after another
    And the load completes 50 more requests
    Then the checker finds no violation
    And every request eventually completed, and no connection broke
