Feature: Run-once requests over sockets

  Background:
    Given two entries and a run-once group

  # Guards against a second run when a caller retries after it received the response.
  Scenario: A retry at another entry receives the stored response
    Given a backend server for run-once requests
    When order 1 is sent to entry 1
    And order 1 is sent to entry 2
    Then the responses are "200 run" and "200 replayed"
    And both responses have the same body
    And order 1 ran once

  # Guards against two runs when the same key reaches two entries concurrently.
  Scenario: Concurrent requests with the same key at two entries run once
    Given a backend server for run-once requests that takes 50 ms
    When 20 orders are each sent to both entries concurrently
    Then each of the 20 orders ran once
    And no response has the outcome not-run

  # Guards against a begin whose reply is lost: its request must not be dispatched before the begin is confirmed, and
  # not dispatched twice.
  Scenario: A begin whose reply is lost is retried and the request runs once
    Given a backend server for run-once requests
    And the group loses the first 2 replies to begin
    When order 1 is sent to entry 1
    Then the last response is "200 run"
    And order 1 ran once

  # Guards against a begin that is applied late and blocks its key although the attempt was abandoned.
  Scenario: A begin that is applied after its attempt was abandoned does not block the key
    Given a backend server for run-once requests
    And the group applies every begin late
    When order 1 is sent to entry 1 with a deadline of 200 ms
    Then the last response is "503 not-run"
    And no order ran
    When the group recovers and applies its late calls
    And order 1 is sent to entry 2
    Then the last response is "200 run"
    And order 1 ran once

  # Guards against callers that wait until their deadlines while a group without a quorum cannot reply.
  Scenario: Requests are rejected at once when their group has not replied for longer than a leader change
    Given a backend server for run-once requests
    And the group loses every call
    When order 1 is sent to entry 1 with a deadline of 3500 ms
    And order 1 is sent to entry 1 with a deadline of 60000 ms
    Then the last response is "503 not-run"
    And the last response took less than 20000 ms
    And no order ran
    When the group replies again
    And order 1 is sent to entry 1
    Then the last response is "200 run"
    And order 1 ran once

  # Guards against a run that is not recorded when the entry is killed after begin.
  Scenario: An entry is killed between begin and dispatch
    Given a backend server for run-once requests
    When entry 1 is killed immediately after the group recorded the begin of order 1
    And order 1 is sent to entry 2
    Then the last response is "425 unknown"
    And no order ran
    When the clock of the group advances by 60 seconds
    And order 1 is sent to entry 2
    Then the last response is "502 unknown"
    And no order ran

  # Guards against keys of a killed process that stay in progress until their deadline although the next process of the
  # entry has reported its incarnation.
  Scenario: The keys of the earlier process become unknown when an entry restarts
    Given a backend server for run-once requests
    When entry 1 is killed immediately after the group recorded the begin of order 1
    And entry 1 restarts and reports its incarnation, of which the group loses the first reply
    And order 1 is sent to entry 2
    Then the last response is "502 unknown"
    And no order ran

  # Guards against a second run when the entry is killed before the response is recorded.
  Scenario: An entry is killed between dispatch and finish
    Given a backend server for run-once requests
    When entry 1 is killed before the group records the finish of order 1
    And the clock of the group advances by 60 seconds
    And order 1 is sent to entry 2
    Then the last response is "502 unknown"
    And order 1 ran once

  # Guards against a key that is not released although its request was rejected, and against the outcome not-run for a
  # request that ran.
  Scenario: A rejected request releases its key
    Given a backend server for run-once requests
    And the backend server rejects requests
    When order 1 is sent to entry 1
    Then the last response is "503 not-run"
    And no order ran
    When the backend server accepts requests again
    And order 1 is sent to entry 2
    Then the last response is "200 run"
    And order 1 ran once

  # Guards against a second run, and against the outcome not-run for a request that ran, after a connection fails during
  # the request.
  Scenario: A request whose connection failed after dispatch is never run again
    Given a backend server for run-once requests
    And the backend server resets connections after it ran a request
    When order 1 is sent to entry 1
    Then the last response is "502 unknown"
    When the backend server responds again
    And order 1 is sent to entry 2
    Then the last response is "502 unknown"
    And order 1 ran once

  # Guards against a lost response after the caller has disconnected: the request continues and its response is stored.
  Scenario: A caller that disconnected receives the stored response later
    Given a backend server for run-once requests that takes 100 ms
    When the caller of order 1 closes its connection while the order runs
    And order 1 is sent to entry 2 until it is no longer in progress
    Then the last response is "200 replayed"
    And order 1 ran once

  # Guards against a key that is not released, or a run without a caller, when a caller disconnects while its request
  # waits for a slot.
  Scenario: A caller that disconnects while its request waits for a slot releases its key
    Given a backend server for run-once requests
    When the caller of order 1 closes its connection while the order waits for a slot of entry 1
    And order 1 is sent to entry 2 until it is no longer in progress
    Then the last response is "200 run"
    And order 1 ran once

  # Guards against an outcome that stays unknown although the response arrived soon after the deadline.
  Scenario Outline: A response that arrives after the deadline is stored for a retry
    Given a backend server for run-once requests
    And the backend server responds to order 1 with the fault <fault>
    When order 1 is sent to entry 1 with a deadline of 200 ms
    Then the outcome at the deadline is <outcome>
    When order 1 is sent to entry 2 until it is no longer in progress
    Then the last response is "200 replayed"
    And order 1 ran once

    Examples:
      | fault           | outcome |
      | delayedResponse | unknown |
      | delayedBody     | nothing |

  # Guards against a key that is not released when a dispatched request gets no response.
  Scenario: A request without a response after its deadline has the outcome unknown and is never run again
    Given a backend server for run-once requests
    And the backend server responds to order 1 with the fault noResponse
    When order 1 is sent to entry 1 with a deadline of 200 ms
    Then the outcome at the deadline is unknown
    When order 1 is sent to entry 2 until it is no longer in progress
    Then the last response is "502 unknown"
    And order 1 ran once

  # Guards against a retry that is rejected because the entry has no slots although its response is stored.
  Scenario: A retry receives its stored response at an entry without capacity
    Given a backend server for run-once requests
    When order 1 is sent to entry 1
    And entry 2 holds no slots
    And order 1 is sent to entry 2
    Then the last response is "200 replayed"
    And order 1 ran once

  # Guards against copies of a request that are rejected as in progress for as long as it waits at an entry without
  # slots.
  Scenario: A request that waits for a slot releases its key when another entry has one
    Given entry 3 with a manual clock
    And a backend server for run-once requests
    When order 1 waits for a slot of entry 3
    And the clock of entry 3 advances by 100 ms
    And order 1 is sent to entry 2 until it is no longer in progress
    Then the last response is "200 run"
    And order 1 receives "503 not-run" from entry 3
    And order 1 ran once

  # Guards against a request that is rejected although no other attempt uses its key and a slot becomes free.
  Scenario: A request that waits for a slot keeps its key when no other attempt uses it
    Given entry 3 with a manual clock
    And a backend server for run-once requests
    When order 1 waits for a slot of entry 3
    And the clock of entry 3 advances by 1000 ms
    And order 2 is sent to entry 2
    And entry 3 holds slots again and its clock advances by 50 ms
    Then order 1 receives "200 run" from entry 3
    And order 1 ran once

  # Guards against wrong responses to missing, malformed, expired, future and reused keys.
  Scenario: Invalid and reused keys are rejected before the request runs
    Given a backend server for run-once requests
    When a request without a key, with a random key, with a key of 25 hours ago and with a key of the next hour are sent
    Then these responses are "422 not-run"
    When a run-once body of 1048577 bytes is sent
    Then the last response is "413 not-run"
    And no order ran
    When order 1 is sent to entry 1
    And order 1 is sent to entry 1 with another body
    Then the last response is "409 not-run"
    And order 1 ran once

  # Guards against a truncated or invented replay of a response that is too large to store.
  Scenario: A retry after a response over 64 KiB has the outcome unknown
    Given a backend server for run-once requests
    When order 1 is sent to entry 1 for a response of 70000 bytes
    Then the last response is "200 run"
    When order 1 is sent to entry 2 for a response of 70000 bytes
    Then the last response is "502 unknown"
    And order 1 ran once

  # Guards against second runs, and against the outcome not-run for a request that ran, under any combination of faults.
  Scenario: Random faults of backend servers and of the group
    Given 3 backend servers for run-once requests with random faults and seed 20261204
    And a group with random faults and restarts and seed 20261205
    When 150 orders are each sent up to 4 times to random entries until their outcome is known, with seed 20261206
    Then no order ran twice
    And every order with a response of status 200 ran once
    And no order whose responses all have the outcome not-run has run
