Feature: Isolation of a region and loss of the quorum

  # Guards against a region that stops serving, or that runs a request twice, while it is cut off from the others.
  Scenario: A region is cut off from the others, then reconnected
    Given the cooperative deployment with 6 backend servers of each service
    And operators that change 1 resource
    And a running load of lookups, idempotent and run-once requests
    When moldova is cut off from the other regions
    And entry-5 holds no view lease
    Then entry-5 serves idempotent requests
    When each operator makes 5 more changes
    And the connections are healed
    Then entry-5 holds a view lease
    And the checker finds no violation

  # Guards against changes that are accepted and run-once requests that run without a quorum.
  Scenario: The quorum is lost
    Given the cooperative deployment with 6 backend servers of each service
    When control-1, control-2 and control-3 are killed
    And entry-5 holds no view lease
    Then entry-5 serves idempotent requests
    And entry-5 rejects run-once requests of groups without a majority as not-run
    And control-4 accepts no change
    And the checker finds no violation
