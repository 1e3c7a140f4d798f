Feature: Cap of a shift under a surge of traffic

  # Guards against a cap that is exceeded when all traffic arrives at one entry, or while no leader grants quotas.
  Scenario: All traffic of a surge arrives at one entry, and the control leader is killed
    Given the cooperative deployment with 6 backend servers of each service
    And a shift from transilvania to muntenia with a cap of 40 requests per second
    And a surge of 150 requests per second at entry-1
    When the shift has carried 150 more requests
    And the control leader is killed
    And the shift has carried 150 more requests
    Then the checker finds no violation

  # Guards against a quota that other entries get while the cut-off entry still uses it, or once more when it is back.
  Scenario: The entry that carries most of a shift is cut off from control, then reconnected
    Given the cooperative deployment with 6 backend servers of each service
    And a shift from transilvania to muntenia with a cap of 80 requests per second
    And a surge of 150 requests per second at entry-1
    And a surge of 20 requests per second at entry-2
    When the shift has carried 150 more requests from entry-1
    Then most requests of the shift came through entry-1
    When entry-1 is cut off from the control instances
    And a surge of 150 requests per second at entry-2
    And entry-1 holds no view lease
    And the shift has carried 200 more requests from entry-2
    And the connections are healed
    And entry-1 holds a view lease
    And the shift has carried 100 more requests from entry-1
    Then the checker finds no violation
