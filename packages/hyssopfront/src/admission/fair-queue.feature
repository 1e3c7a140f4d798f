Feature: Fair queues

  Scenario: A tenant with many requests does not delay another
    Given empty queues
    When 20 idempotent requests of tenant "a" wait before 5 of tenant "b"
    And there is capacity for 10
    Then 5 requests of tenant "a" and 5 of tenant "b" were dispatched

  Scenario: Tenants share the capacity by cost
    Given empty queues
    When 20 idempotent requests of cost 4 of tenant "a" wait before 20 of cost 1 of tenant "b"
    And there is capacity for 15
    Then 3 requests of tenant "a" and 12 of tenant "b" were dispatched

  Scenario: Run-once requests keep their share when many other requests wait
    Given empty queues with a run-once share of 0.25
    When 40 idempotent requests of tenant "a" wait before 40 run-once requests of tenant "b"
    And there is capacity for 20
    Then 15 requests of tenant "a" and 5 of tenant "b" were dispatched

  Scenario: An idle class is not compensated for the time without requests
    Given empty queues with a run-once share of 0.5
    When 100 run-once requests of tenant "b" were dispatched alone
    And 20 idempotent requests of tenant "a" wait before 20 run-once requests of tenant "b"
    And there is capacity for 10
    Then 5 requests of tenant "a" and 5 of tenant "b" were dispatched

  Scenario: A queue without capacity does not delay the others
    Given empty queues
    When 5 idempotent requests of tenant "a" wait before 5 of tenant "b"
    And there is capacity for only tenant "b"
    Then 0 requests of tenant "a" and 5 of tenant "b" were dispatched

  # Guards against requests that wait although there is capacity for them, behind one of the same tenant that has none.
  Scenario: A request without capacity does not delay others of its tenant if several are tried
    Given empty queues that try 3 requests of a tenant
    When 2 idempotent requests of cost 4 of tenant "a" wait before 2 of cost 1 of tenant "a"
    And there is capacity for only requests of cost 1
    Then 2 requests of tenant "a" and 0 of tenant "b" were dispatched

  Scenario: A request leaves the queue at its deadline
    Given empty queues
    When a request with a deadline in 100 milliseconds waits and 100 milliseconds pass
    Then the request was rejected because its deadline passed, and none waits

  Scenario: A cancelled request leaves the queue immediately
    Given empty queues
    When a request waits and is cancelled
    Then the request was rejected with the reason of its cancellation, and none waits

  Scenario: A full queue rejects further requests of its tenant only
    Given empty queues
    When 256 idempotent requests of tenant "a" wait before 1 of tenant "b"
    And one more request of tenant "a" arrives
    Then the request was rejected because the queue is full
