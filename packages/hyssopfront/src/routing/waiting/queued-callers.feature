Feature: Callers of requests that are queued for a slot

  # Guards against requests that run although their caller has disconnected.
  Scenario: A queued request whose caller disconnected never runs
    Given an entry that holds 0 slots of a backend server that takes 5 ms
    When a request is queued and its caller disconnects
    And the entry holds 6 slots
    And 3 requests are sent at the same time
    Then only the 3 requests ran, and all slots are free

  # Guards against released capacity that is not offered to queued requests, and against leaked slots.
  Scenario: Queued requests run one after another on one slot
    Given an entry that holds 1 slot of a backend server that takes 5 ms
    When 20 requests are sent at the same time
    Then only the 20 requests ran, and all slots are free
    And no more than 1 slot was in use at the same time

  # Guards against a request that is dispatched after its deadline passed in the queue, and against an outcome
  # other than not-run for a request that was never dispatched.
  Scenario: A request whose deadline passes in the queue is reported as not run
    Given an entry that holds 0 slots of a backend server that takes 5 ms
    When a request with a deadline of 100 ms is sent
    Then the caller receives status 504 with outcome not-run and reason deadline-passed
