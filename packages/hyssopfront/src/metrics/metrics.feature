Feature: Metrics never block the process

  Scenario: Counters reach a StatsD server and the admin address
    Given a StatsD server
    When the counter "requests.refused" is incremented 3 times for tenant "sibiu"
    Then the StatsD server receives the counter "requests.refused" with a sum of 3
    And the values of the process show 3 for "requests.refused{tenant=sibiu}"

  Scenario: A StatsD address where nothing listens is ignored
    Given a StatsD address where nothing listens
    When the counter "requests.refused" is incremented 5000 times for tenant "sibiu"
    Then the values of the process show 5000 for "requests.refused{tenant=sibiu}"

  Scenario: Made-up tenants cannot use unlimited memory
    When latencies are recorded for 1000 tenants
    Then at most 257 histograms exist and none of the 1000 latencies is lost

  # Guards against metrics that a monitoring system cannot parse, or that lack the labels that distinguish them.
  Scenario: Metrics are served in the text format of Prometheus
    When a request to the service stoc that took 120 ms is recorded
    Then the text has the counter, the gauge and the histogram with their labels
