Feature: Shared limits, load balancing, retries and hedges

  # Guards against requests beyond the slots that the entry holds.
  Scenario: Requests in flight never exceed the slots, even with retries and hedges
    Given an entry
    And 2 backend servers that take 10 ms
    And the entry holds 3 slots of each backend server
    When the caller sends 60 requests at the same time
    Then no more than 3 slots of a backend server were in use at the same time
    And each request succeeded or received status 503 with outcome not-run
    And all slots are free again

  # Guards against more connections than the entry's share of the limit.
  Scenario: Connections stay within the entry's share
    Given an entry for a service with 4 connections per backend server and 2 entries
    And 1 backend server that takes 10 ms
    When the caller sends 30 requests at the same time
    Then the backend servers had at most 2 connections at the same time

  # Guards against traffic beyond the capacity of links, in both directions.
  Scenario: Requests across regions use the budgets of both link directions
    Given an entry
    And a backend server die-1 in pitesti-1
    When the caller sends 3 requests
    Then link/transilvania/muntenia had 1536 units in use
    And link/muntenia/transilvania had 24576 units in use

  # Guards against bytes that are not counted because the response is longer than its estimate.
  Scenario: Bytes beyond the estimate are counted while they are streamed
    Given an entry
    And a backend server die-1 in pitesti-1
    When the caller requests a response of 100000 bytes
    Then each request received its own complete response
    And link/muntenia/transilvania had 100000 units in use

  # Guards against a shift that moves more than its cap. The excess must stay in the origin.
  Scenario: A shift moves requests up to its cap
    Given an entry
    And a backend server die-1 in sibiu-1
    And a backend server die-2 in pitesti-1
    And a shift evening of 100 percent from transilvania to muntenia with capacity for 4 requests
    When the caller sends 10 requests
    Then each request received its own complete response
    And backend server die-1 ran 6 requests
    And backend server die-2 ran 4 requests

  # Guards against a bypass of the cap: the origin of a shift must not overflow to the destination in any other way.
  Scenario: The destination of a shift without capacity receives no overflow
    Given an entry
    And a backend server die-2 in pitesti-1
    And a shift evening of 100 percent from transilvania to muntenia with capacity for 1 request
    When the caller sends 3 requests
    Then the caller receives status 503 with outcome not-run and reason no-room
    And backend server die-2 ran 1 request

  Scenario: The nearest backend servers with capacity are used first
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

  # Guards against retries that amplify an overload.
  Scenario: Retries stay under a tenth of the requests and a burst of ten
    Given an entry
    And 3 backend servers that take 0 ms
    And all backend servers reject requests
    When the caller sends 200 requests
    Then the counter routing.retries is at most 30

  # Guards against hedges that amplify the load, and against hedges on the connection that is slow.
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

  # Guards against a latency estimate that stays high because the first response used a new connection.
  Scenario: A slow first response does not delay hedges
    Given an entry
    And 3 backend servers that take 400 ms
    When the caller sends 3 requests
    And all backend servers take 2 ms from now on
    And the caller sends 100 requests
    And the backend server that ran the most requests takes 150 ms from now on
    And the caller sends 100 requests
    Then the counter routing.hedges is at least 1

  # Guards against a hedge on the backend server that is already slow.
  Scenario: Requests are not hedged when there is no other backend server
    Given an entry
    And 1 backend server that takes 2 ms
    When the caller sends 100 requests
    And backend server die-1 takes 100 ms from now on
    And the caller sends 5 requests
    Then each request ran once

  # Guards against hedges that the caller has disabled.
  Scenario: Requests with hedging disabled are not hedged
    Given an entry
    And 3 backend servers that take 2 ms
    When the caller sends 100 requests
    And backend server die-1 takes 150 ms from now on
    And the caller sends 30 requests with hedging disabled
    Then each of the last 30 requests ran once

  # Guards against a cold backend server that receives as many requests as a warm one.
  Scenario: A cold backend server receives few requests until it is fast
    Given an entry
    And 2 backend servers that take 5 ms
    When the caller sends 100 requests
    And a backend server with a cold start of 100 times its service time starts
    And the caller sends 200 requests at the same time in groups of 8
    Then each request received its own complete response
    And the cold backend server ran less than a sixth of them
    And the cold backend server had at most 2 requests at the same time

  Scenario Outline: The load balancing policy can be replaced by a baseline policy
    Given an entry with the policy <policy>
    And a backend server die-1 in sibiu-1
    And a backend server die-2 in pitesti-1
    When the caller sends 40 requests
    Then each request received its own complete response
    And each backend server ran at least 8 requests

    Examples:
      | policy      |
      | round robin |
      | random      |

  # Guards against rejections although capacity becomes available before the deadline, and against unbounded queues.
  Scenario: Requests wait in the queue until capacity is available
    Given an entry with a queue of 4 requests
    And 1 backend server that takes 20 ms
    And the entry holds 1 slots of each backend server
    When the caller sends 5 requests at the same time
    Then each request received its own complete response
    When the caller sends 8 requests at the same time
    Then 3 more requests receive status 429 with outcome not-run and reason limit
    And each request succeeded or received status 429 with outcome not-run

  Scenario: Requests whose deadline passes in the queue are reported as not run
    Given an entry with a queue of 4 requests
    And a backend server die-1 in sibiu-1
    And the entry holds 0 slots of each backend server
    When the caller sends 1 request with a deadline of 50 ms
    Then the caller receives status 504 with outcome not-run and reason deadline-passed
    And the queue is empty
