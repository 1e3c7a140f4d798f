Feature: Example of an embedded replica

  Scenario: A counter remains available without one of three instances, which catches up after its restart
    Given three instances of the counter
    When 5 is added at the leader
    Then each instance reads 5
    When the leader stops and 2 is added at the next leader
    And the stopped instance restarts with its data folder
    Then each instance reads 7
