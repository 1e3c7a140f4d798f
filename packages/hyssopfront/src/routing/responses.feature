Feature: Responses to callers

  Background:
    Given an entry

  # Guards against an incomplete response that is delivered as complete.
  Scenario Outline: An incomplete response is never delivered as complete
    Given 1 backend server
    And the backend servers respond with <fault>
    When the caller sends 5 requests for responses of 20000 bytes
    Then no request received a complete response from a backend server
    And no request reported as not-run was run

    Examples:
      | fault               |
      | truncatedResponse   |
      | resetMidResponse    |
      | undelimitedResponse |

  # Guards against a late response to an earlier request that is delivered to a later one.
  Scenario: A response after the deadline is discarded
    Given 1 backend server
    And the backend servers respond to every second request with delayedResponse
    When the caller sends 20 requests with a deadline of 150 ms
    Then each complete response from a backend server belongs to its request
    And the outcome of each other request is unknown

  # Guards against surplus bytes on a connection that are parsed as the response to the next request.
  Scenario Outline: Surplus bytes on a connection are discarded
    Given 1 backend server
    And the backend servers respond with <fault>
    When the caller sends 20 requests
    Then each request received its own complete response
    And the counter routing.surplus_answers is at least 1

    Examples:
      | fault           |
      | surplusResponse |
      | surplusBytes    |

  # Guards against further surplus bytes, which can arrive after the next request was sent.
  Scenario: A connection with surplus bytes is not reused
    Given 1 backend server
    And the backend servers respond to the first request with surplusResponse
    When the caller sends 10 requests
    Then each request received its own complete response
    And each connection carried one request

  # Guards against a backend server that sends the responses of a connection in the wrong order.
  Scenario: A response with the id of another request is discarded
    Given 1 backend server that returns request ids
    When the caller sends 3 requests
    Then each request received its own complete response
    Given the backend servers respond with reorderedResponse
    When the caller sends 2 more requests
    Then each complete response from a backend server belongs to its request
    And the caller receives status 502 with outcome unknown and reason bad-answer

  # Guards against the outcome not-run for a request that ran, and unknown for one that certainly did not.
  Scenario: A request that all backend servers reject is reported as not run
    Given 2 backend servers
    And the backend servers reject requests
    When the caller sends 3 requests
    Then the caller receives status 503 with outcome not-run and reason refused
    And no backend server ran a request

  Scenario: A request for a service without backend servers is reported as not run
    When the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason no-backend-server

  Scenario: A request to an unreachable backend server is reported as not run
    Given 1 backend server
    And the backend servers stop without a withdrawal
    When the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason backend-server-unreachable

  # Guards against the outcome not-run for a request that ran before its connection failed.
  Scenario: A request whose connection fails after the dispatch has an unknown outcome
    Given 1 backend server
    And the backend servers respond with reset
    When the caller sends 1 request
    Then the caller receives status 502 with outcome unknown and reason backend-server-failed

  Scenario: A failed idempotent request is retried on another backend server
    Given 2 backend servers
    And backend server die-1 responds with reset
    When the caller sends 4 requests
    Then each request received its own complete response

  Scenario: The deadline passes before or after the dispatch
    Given 1 backend server that takes 300 ms
    When the caller sends 1 request with a deadline of 0 ms
    Then the caller receives status 504 with outcome not-run and reason deadline-passed
    And no backend server ran a request
    When the caller sends 1 request with a deadline of 150 ms
    Then the caller receives status 504 with outcome unknown and reason deadline-passed
    And the backend server received a deadline of at most 150 ms
    And no backend server is processing a request

  # Guards against requests that keep running after their caller has disconnected.
  Scenario: A caller that closes its connection cancels its idempotent request
    Given 1 backend server that takes 5000 ms
    When a caller closes its connection while its request runs
    Then no backend server is processing a request

  # Guards against a backend server that takes a partial body as complete.
  Scenario: A request body is forwarded completely or not at all
    Given 1 backend server
    When the caller sends a body of 3000000 bytes
    Then each request received its own complete response
    And the backend server received a body of 3000000 bytes
    When a caller closes its connection in the middle of a body
    Then the backend server ran 1 request

  # Guards against an entry that buffers whole responses for slow callers.
  Scenario: A caller that does not read causes backpressure on the backend server
    Given 1 backend server
    When a caller requests 200000000 bytes and does not read the response
    Then the entry read less than 40000000 bytes from the backend server

  # Guards against misdelivered responses and wrong not-run outcomes under combined faults.
  Scenario: Random faults
    Given 5 backend servers with random faults and seed 20261207
    When the caller sends 400 requests at the same time in groups of 20 with a deadline of 300 ms
    Then each complete response from a backend server belongs to its request
    And no request reported as not-run was run
    And all slots are free again
