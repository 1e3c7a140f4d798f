Feature: Connection failures, unresponsive connections and malformed requests

  # Guards against repeated requests to a backend server that cannot respond.
  Scenario: The circuit of a failed backend server opens, and one successful probe closes it
    Given a circuit breaker
    When 3 requests fail in a row
    Then the circuit is open
    When 400 ms pass
    Then no probe is due
    When 300 ms pass
    Then exactly one probe is due
    When the probe fails
    And 700 ms pass
    Then no probe is due
    When 600 ms pass
    Then exactly one probe is due
    When the probe succeeds
    Then the circuit is closed

  Scenario: Failures with a success in between do not open the circuit
    Given a circuit breaker
    When 2 requests fail in a row
    And 1 request succeeds
    And 2 requests fail in a row
    Then the circuit is closed

  # Guards against a stopped backend server that keeps failing requests while others work.
  Scenario: A stopped backend server causes no failed requests
    Given an entry
    And 3 backend servers
    And backend server die-1 stopped without a withdrawal
    When the caller sends 100 requests
    Then each request received its own complete response
    And the counter routing.circuit_opened is at least 1

  # Guards against a circuit that stays open after the backend server has recovered.
  Scenario: A recovered backend server is used again
    Given an entry
    And 1 backend server
    And backend server die-1 responds with reset
    When the caller sends 4 requests
    Then the caller receives status 503 with outcome not-run and reason circuit-open
    When backend server die-1 responds again
    Then the caller receives a successful response within 10 seconds
    And the backend servers received at most 4 probes

  # Guards against requests that wait on permanently unresponsive connections while new ones work.
  Scenario: Unresponsive connections are closed and new ones are used
    Given an entry
    And 2 backend servers that take 1 ms
    When the caller sends 60 requests
    And all open connections to the backend servers stop responding
    And the caller sends 20 requests with a deadline of 2000 ms
    Then each request received its own complete response
    And all unresponsive connections are closed

  # Guards against a separate timeout on each of several idle connections that stopped responding together.
  Scenario: One unresponsive connection closes the idle connections as well
    Given an entry
    And 1 backend server that takes 5 ms
    When the caller sends 6 requests at the same time
    And all open connections to the backend servers stop responding
    And the caller sends 6 requests
    Then each request received its own complete response
    And the counter routing.silent_connections is exactly 1

  # Guards against run-once requests with an unknown outcome because the backend server closed an idle connection.
  Scenario: A connection that was idle for too long is not acquired when a fresh one is required
    Given a connection pool of a backend server
    When a connection is acquired and released at 0 ms
    Then at 900 ms it is acquired again with a maximum idle time of 1000 ms
    And at 2000 ms a new connection is acquired with a maximum idle time of 1000 ms
    And at 2000 ms the idle connection is acquired when the connection limit allows no other
    And at 2000 ms no connection is acquired when the connection limit is reached

  # Guards against a circuit that a probe of the announced address closes while requests still use an earlier address.
  Scenario: A backend server that announces another port is reached at that port
    Given an entry
    And a backend server that is announced at the address of a proxy
    When the caller sends 3 requests
    And the proxy stops forwarding and the backend server announces its own port
    And the caller sends 3 requests with a deadline of 2000 ms
    Then each request received its own complete response

  # Guards against a connection to an earlier address that is reused after its request has ended.
  Scenario: Connections to an earlier address are not acquired again
    Given a connection pool of a backend server
    When of two connections one is released, the port changes, and then the other is released
    Then neither of the two is acquired again

  # Guards against request smuggling, where two parsers disagree on the end of a request, and against local responses in
  # the wrong format.
  Scenario Outline: Malformed requests are rejected with the outcome not-run
    Given an entry
    And 1 backend server
    When a caller sends <request>
    Then the raw response has status <status>, outcome not-run and reason <reason>
    And the connection is closed
    And no backend server ran a request

    Examples:
      | request                                    | status | reason            |
      | Content-Length and Transfer-Encoding       | 400    | bad-framing       |
      | two different Content-Length headers       | 400    | bad-framing       |
      | two equal Content-Length headers           | 400    | bad-framing       |
      | a Content-Length that is no number         | 400    | bad-framing       |
      | a Transfer-Encoding other than chunked     | 400    | bad-framing       |
      | a header name with a space                 | 400    | bad-request       |
      | a header name that ends in a space         | 400    | bad-request       |
      | Transfer Encoding with a space             | 400    | bad-request       |
      | an empty header name                       | 400    | bad-request       |
      | a header name with a tab                   | 400    | bad-request       |
      | a bad header name before a good request    | 400    | bad-request       |
      | a header line that is folded               | 400    | bad-request       |
      | no Host header                             | 400    | bad-request       |
      | HTTP/1.0                                   | 400    | bad-request       |
      | a path with dot segments                   | 400    | bad-request       |
      | a path with an escaped slash               | 400    | bad-request       |
      | two Idempotency-Key headers                | 400    | bad-framing       |
      | headers of 20000 bytes                     | 431    | headers-too-large |
      | a declared body over the limit             | 413    | body-too-large    |
      | an unknown service                         | 404    | unknown-service   |

  # Guards against an entry that has just started and reports declared services as unknown.
  Scenario: An entry without configuration does not report a service as unknown
    Given an entry
    When the entry has no configuration yet
    And the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason no-backend-server

  # Guards against a rejection that the caller takes for the response to its earlier request on the connection: that
  # request would count as not run although it runs.
  Scenario: Malformed bytes after a request in flight receive no response
    Given an entry
    And 1 backend server that takes 200 ms
    When the caller sends a valid request and then malformed bytes on the same connection
    Then the caller received no response with the outcome not-run

  # Guards against hop-by-hop headers that are forwarded, and against outcome headers that a backend server invents.
  Scenario: Hop-by-hop headers are not forwarded
    Given an entry
    And 1 backend server
    When the caller sends a request with hop-by-hop headers
    Then the backend server received no hop-by-hop header
    And it received the tenant, a deadline and a request id

  Scenario Outline: Requests are classified by the first matching rule
    Given rules: POST under /search is idempotent, anything under /orders is run-once, and the default is <default>
    Then <method> <path> is <class>

    Examples:
      | default    | method | path      | class      |
      | none       | POST   | /search   | idempotent |
      | none       | GET    | /orders/1 | runOnce    |
      | none       | GET    | /other    | idempotent |
      | none       | POST   | /other    | runOnce    |
      | idempotent | POST   | /other    | idempotent |
      | runOnce    | GET    | /other    | runOnce    |

  # Guards against a run-once request that is classified as idempotent because its path is escaped.
  Scenario: An escaped path is classified like the unescaped path
    Given rules: POST under /search is idempotent, anything under /orders is run-once, and the default is idempotent
    Then GET /%6frders/1 is runOnce
