Feature: Admission of requests by priority and account

  # Guards against urgent requests that wait behind less urgent ones, and an account that delays all others.
  Scenario: Waiting requests are served by priority, then round robin between accounts
    Given a queue in which requests wait for 500 ms
    When these requests wait
      | priority | account | requests |
      | 2        | a       | 2        |
      | 1        | a       | 3        |
      | 1        | b       | 2        |
      | 0        | c       | 1        |
    And there is capacity for 6 requests
    Then these requests were admitted: "0c 1a 1b 1a 1b 1a"

  # Guards against a queue that keeps requests until their callers cannot retry.
  Scenario: A request leaves the queue when its wait ends
    Given a queue in which requests wait for 500 ms
    When 1 requests of priority 2 wait
    And 500 ms pass
    Then 1 requests ended with "timed-out" and 0 wait

  # Guards against memory that grows with the load, and against urgent requests that are rejected for less urgent ones.
  Scenario: A full queue rejects the least urgent requests
    Given a queue in which requests wait for 500 ms
    When 64 requests of priority 2 wait
    And 10 requests of priority 1 wait
    And 3 requests of priority 2 wait
    Then 10 requests ended with "displaced" and 64 wait
    And 3 requests ended with "full" and 64 wait

  # Guards against callers that return before there can be capacity, or all at the same time.
  Scenario: Rejected callers return at the rate of the completions, after the requests that wait
    When 10 requests are completed each second, 3 wait, and 4 callers with 9000 ms left are rejected
    Then they return 400, 500, 600 and 700 ms later, or up to a fifth more

  # Guards against a time to return that callers do not honor.
  Scenario: Callers return within a third of their remaining time
    When 1 requests are completed each second, 3 wait, and 2 callers with 300 ms left are rejected
    Then they return 100 and 100 ms later, or up to a fifth more

  # Guards against urgent requests that use all capacity: a part of the share of an entry is reserved for each priority.
  Scenario: Less urgent requests keep a part of the share
    Given a service of 40 slots without recent reports, 2 entries and 30 requests of priority 0 in flight
    Then 3 more requests of priority 2 are admitted, and the next one is rejected

  # Guards against lost capacity and against log lines for each rejection.
  Scenario: Scarcity is logged when it begins and when it ends
    Given a service of 40 slots without recent reports, 2 entries and 30 requests of priority 0 in flight
    When 8 requests of priority 2 arrive and 6000 ms pass
    And all requests in flight are completed
    And 8 requests of priority 2 arrive and 0 ms pass
    Then the log has these events: "capacity of service scarce, capacity of service sufficient"
    And the counters are 41 admitted and 5 rejected
