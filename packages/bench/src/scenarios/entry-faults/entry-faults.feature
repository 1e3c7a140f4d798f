Feature: Faults and graceful stops of entries under load

  # Guards against requests that are lost with an entry although callers retry them.
  Scenario: An entry is killed under load and restarts at the same address
    Given the cooperative deployment with 6 backend servers of each service
    And a running load of lookups, idempotent and run-once requests
    When entry-1 is killed
    And the load completes 150 more requests
    And entry-1 starts again
    Then entry-1 holds a view lease again
    When the load completes 100 more requests
    Then the checker finds no violation
    And every idempotent request completed, and every run-once request completed or has an unknown outcome

  # Guards against a graceful stop that aborts requests, or that closes the port while cached lookup results contain it.
  Scenario: A graceful stop aborts no request, and lookup results remain valid for their time to live
    Given the cooperative deployment with 6 backend servers of each service
    And a running load of lookups, idempotent and run-once requests
    And long requests in flight at entry-1
    When entry-1 is stopped gracefully
    Then the long requests received their complete responses
    And entry-1 accepted connections for the time to live of lookup results and exited with code 0
    When the load completes 50 more requests
    Then the checker finds no violation
    And every request eventually completed, and no connection broke
