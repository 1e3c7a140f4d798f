Feature: Shared limits and attempts

  # Guards against work beyond the slots that the entry holds (P2).
  Scenario: Requests in flight never exceed the slots, also with retries and hedges
    Given an entry
    And 2 backend servers that take 10 ms
    And the entry holds 3 slots of each backend server
    When the caller sends 60 requests at the same time
    Then no more than 3 slots of a backend server were taken at the same time
    And each request was answered or told 503 with outcome not-run
    And all slots are free again

  # Guards against more connections than the entry's share of the limit.
  Scenario: Connections stay under the entry's share
    Given an entry for a service with 4 connections per backend server and 2 entries
    And 1 backend server that takes 10 ms
    When the caller sends 30 requests at the same time
    Then the backend servers saw at most 2 connections at the same time

  # Guards against steering past the capacity of links (P2): both directions count.
  Scenario: Requests that cross regions take both link budgets
    Given an entry
    And a backend server die-1 in pitesti-1
    When the caller sends 3 requests
    Then link/transilvania/muntenia had 1536 units taken
    And link/muntenia/transilvania had 24576 units taken

  # Guards against answers longer than their estimate that pass uncounted (P2).
  Scenario: Bytes over the estimate are counted while they are streamed
    Given an entry
    And a backend server die-1 in pitesti-1
    When the caller asks for an answer of 100000 bytes
    Then each request received its own complete response
    And link/muntenia/transilvania had 100000 units taken

  # Guards against a shift that carries more than its cap (P1): what does not fit stays in the origin.
  Scenario: A shift moves requests up to its cap
    Given an entry
    And a backend server die-1 in sibiu-1
    And a backend server die-2 in pitesti-1
    And a shift evening of 100 percent from transilvania to muntenia with room for 4 requests
    When the caller sends 10 requests
    Then each request received its own complete response
    And backend server die-1 ran 6 requests
    And backend server die-2 ran 4 requests

  # Guards against a way around the cap: the destination of a shift takes no other overflow of its origin.
  Scenario: The destination of a shift without room gets no overflow
    Given an entry
    And a backend server die-2 in pitesti-1
    And a shift evening of 100 percent from transilvania to muntenia with room for 1 request
    When the caller sends 3 requests
    Then the caller receives status 503 with outcome not-run and reason no-room
    And backend server die-2 ran 1 request

  Scenario: The nearest backend servers with room are used first
    Given an entry
    And a backend server die-1 in sibiu-1
    And a backend server die-2 in sibiu-2
    And a backend server die-3 in pitesti-1
    When the caller sends 10 requests
    Then backend server die-1 ran 10 requests
    When the entry holds no slots of die-1
    And the caller sends 10 requests
    Then backend server die-2 ran 10 requests
    When the entry holds no slots of die-2
    And the caller sends 10 requests
    Then backend server die-3 ran 10 requests

  # Guards against retries that multiply an overload.
  Scenario: Retries stay under a tenth of the requests and a burst of ten
    Given an entry
    And 3 backend servers that take 0 ms
    And all backend servers refuse
    When the caller sends 200 requests
    Then the counter routing.retries is at most 30

  # Guards against hedges that multiply the load, and against hedges on the connection that is slow.
  Scenario: Hedges go to another backend server and stay under a twentieth of the requests and a burst of ten
    Given an entry
    And 3 backend servers that take 2 ms
    When the caller sends 100 requests
    And the backend server that ran the most requests takes 150 ms from now on
    And the caller sends 200 requests
    Then each request received its own complete response
    And the counter routing.hedges is at least 1
    And the counter routing.hedges is at most 25
    And no request ran twice on the same backend server

  # Guards against an estimate of the usual latency that the first answer, on a new connection, keeps high.
  Scenario: A slow first answer does not delay hedges
    Given an entry
    And 3 backend servers that take 400 ms
    When the caller sends 3 requests
    And all backend servers take 2 ms from now on
    And the caller sends 100 requests
    And the backend server that ran the most requests takes 150 ms from now on
    And the caller sends 100 requests
    Then the counter routing.hedges is at least 1

  # Guards against a hedge on the backend server that is slow already.
  Scenario: Requests are not hedged when there is no other backend server
    Given an entry
    And 1 backend server that takes 2 ms
    When the caller sends 100 requests
    And backend server die-1 takes 100 ms from now on
    And the caller sends 5 requests
    Then each request ran once

  # Guards against hedging against the caller's wish.
  Scenario: Requests with hedging off are not hedged
    Given an entry
    And 3 backend servers that take 2 ms
    When the caller sends 100 requests
    And backend server die-1 takes 150 ms from now on
    And the caller sends 30 requests with hedging off
    Then each of the last 30 requests ran once

  # Guards against a cold backend server that gets as much work as a warm one.
  Scenario: A backend server with a cold start gets few requests until it is fast
    Given an entry
    And 2 backend servers that take 5 ms
    When the caller sends 100 requests
    And a backend server with a cold start of 100 times its service time joins
    And the caller sends 200 requests at the same time in groups of 8
    Then each request received its own complete response
    And the cold backend server ran less than a sixth of them
    And the cold backend server had at most 2 requests at the same time

  Scenario Outline: The choice can be replaced by a baseline
    Given an entry that chooses by <policy>
    And a backend server die-1 in sibiu-1
    And a backend server die-2 in pitesti-1
    When the caller sends 40 requests
    Then each request received its own complete response
    And each backend server ran at least 8 requests

    Examples:
      | policy      |
      | round robin |
      | random      |

  # Guards against requests that are refused although room comes before their deadline, and against endless queues.
  Scenario: Requests without room wait in the queue for their turn
    Given an entry with a queue of 4 requests
    And 1 backend server that takes 20 ms
    And the entry holds 1 slots of each backend server
    When the caller sends 5 requests at the same time
    Then each request received its own complete response
    When the caller sends 8 requests at the same time
    Then 3 more requests are told 429 with outcome not-run and reason limit
    And each request was answered or told 429 with outcome not-run

  Scenario: Requests that wait in the queue past their deadline are told that they were not run
    Given an entry with a queue of 4 requests
    And a backend server die-1 in sibiu-1
    And the entry holds 0 slots of each backend server
    When the caller sends 1 request with a deadline of 50 ms
    Then the caller receives status 504 with outcome not-run and reason deadline-passed
    And the queue is empty
