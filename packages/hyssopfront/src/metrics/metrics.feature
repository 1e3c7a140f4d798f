Feature: Metrics never hold up the process

  Scenario: Counters reach a StatsD address and the admin address
    Given a StatsD receiver
    When the counter "requests.refused" is raised 3 times for tenant "sibiu"
    Then the receiver gets the counter "requests.refused" with a sum of 3
    And the values of the process show 3 for "requests.refused{tenant=sibiu}"

  Scenario: A StatsD address where nothing listens is ignored
    Given a StatsD address where nothing listens
    When the counter "requests.refused" is raised 5000 times for tenant "sibiu"
    Then the values of the process show 5000 for "requests.refused{tenant=sibiu}"

  Scenario: Invented tenants cannot claim memory without bound
    When latencies are recorded for 1000 tenants
    Then at most 257 histograms exist and none of the 1000 latencies is lost

  # Guards against metrics that a monitoring system cannot read or tell apart.
  Scenario: Metrics are served as text
    When a request of stoc that took 120 ms is counted as text
    Then the text has the counter, the gauge and the histogram with their labels
