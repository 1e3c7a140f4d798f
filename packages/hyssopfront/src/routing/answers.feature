Feature: What callers are told

  Background:
    Given an entry

  # Guards against an answer that was cut short and is taken for a whole one (P3).
  Scenario Outline: A cut answer is never delivered as a whole one
    Given 1 backend server
    And the backend servers answer with <fault>
    When the caller sends 5 requests for answers of 20000 bytes
    Then no request received a complete response from a backend server
    And no request reported as not-run was run

    Examples:
      | fault            |
      | truncatedAnswer  |
      | cutAnswer        |
      | undelimitedAnswer |

  # Guards against an answer of an earlier request that arrives late and is given to a later one (P3).
  Scenario: Answers that come after the deadline reach nobody
    Given 1 backend server
    And the backend servers answer every second request with lateAnswer
    When the caller sends 20 requests with a deadline of 150 ms
    Then each complete response from a backend server belongs to its request
    And the outcome of each other request is unknown

  # Guards against surplus bytes on a connection that pass for the answer to the next request (P3).
  Scenario Outline: Surplus bytes on a connection reach nobody
    Given 1 backend server
    And the backend servers answer with <fault>
    When the caller sends 20 requests
    Then each request received its own complete response
    And the counter routing.surplus_answers is at least 1

    Examples:
      | fault         |
      | surplusAnswer |
      | surplusBytes  |

  # Guards against the next surplus bytes, which could come after a request was sent.
  Scenario: Connections are not reused after surplus bytes
    Given 1 backend server
    And the backend servers answer the first request with surplusAnswer
    When the caller sends 10 requests
    Then each request received its own complete response
    And each connection carried one request

  # Guards against a server that sends the answers of a connection in the wrong order (P3).
  Scenario: An answer with the id of another request reaches nobody
    Given 1 backend server that returns request ids
    When the caller sends 3 requests
    Then each request received its own complete response
    Given the backend servers answer with reorderedAnswer
    When the caller sends 2 more requests
    Then each complete response from a backend server belongs to its request
    And the caller receives status 502 with outcome unknown and reason bad-answer

  # Guards against a not-run told of a request that ran, and against lost certainty when it did not (P4).
  Scenario: Refused requests are told as not run
    Given 2 backend servers
    And the backend servers refuse requests
    When the caller sends 3 requests
    Then the caller receives status 503 with outcome not-run and reason refused
    And no backend server ran a request

  Scenario: Requests for a service without backend servers are told as not run
    When the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason no-backend-server

  Scenario: Requests to a backend server that died are told as not run
    Given 1 backend server
    And the backend servers die without a withdrawal
    When the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason backend-server-unreachable

  # Guards against a not-run told of a request that ran before its connection failed (P4).
  Scenario: Requests whose connection failed after the dispatch have an unknown outcome
    Given 1 backend server
    And the backend servers answer with reset
    When the caller sends 1 request
    Then the caller receives status 502 with outcome unknown and reason backend-server-failed

  Scenario: A failed idempotent request is tried on another backend server
    Given 2 backend servers
    And backend server die-1 answers with reset
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

  # Guards against work that goes on for a caller that has gone.
  Scenario: A caller that closes its connection cancels its idempotent request
    Given 1 backend server that takes 5000 ms
    When a caller closes its connection while its request runs
    Then no backend server is processing a request

  # Guards against a backend server that takes part of a body for the whole of it.
  Scenario: A body is passed on whole or not at all
    Given 1 backend server
    When the caller sends a body of 3000000 bytes
    Then each request received its own complete response
    And the backend server got a body of 3000000 bytes
    When a caller closes its connection in the middle of a body
    Then the backend server ran 1 request

  # Guards against an entry that holds whole answers in memory for slow callers.
  Scenario: A caller that does not read holds the backend server back
    Given 1 backend server
    When a caller asks for 200000000 bytes and does not read them
    Then the entry took less than 40000000 bytes from the backend server

  # Guards against mixed-up answers and false not-runs under faults in any combination (P3, P4).
  Scenario: Random faults
    Given 5 backend servers with random faults and seed 20261207
    When the caller sends 400 requests at the same time in groups of 20 with a deadline of 300 ms
    Then each complete response from a backend server belongs to its request
    And no request reported as not-run was run
    And all slots are free again
