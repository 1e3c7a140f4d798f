Feature: Connections that fail, fall silent or break the protocol

  # Guards against requests that are sent to a backend server that cannot answer, again and again.
  Scenario: The circuit of a backend server that died opens and one probe closes it again
    Given a circuit
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

  Scenario: Failures between answers do not open the circuit
    Given a circuit
    When 2 requests fail in a row
    And 1 request is answered
    And 2 requests fail in a row
    Then the circuit is closed

  # Guards against a dead backend server that keeps failing requests although others work.
  Scenario: A dead backend server fails no requests
    Given an entry
    And 3 backend servers
    And backend server die-1 died without a withdrawal
    When the caller sends 100 requests
    Then each request received its own complete response
    And the counter routing.circuit_opened is at least 1

  # Guards against a circuit that stays open after the backend server works again.
  Scenario: A backend server that works again is used again
    Given an entry
    And 1 backend server
    And backend server die-1 answers with reset
    When the caller sends 4 requests
    Then the caller receives status 503 with outcome not-run and reason circuit-open
    When backend server die-1 answers again
    Then the caller gets an answer within some requests
    And the backend servers got at most 4 probes

  # Guards against requests that wait on connections that fell silent for good while new ones work.
  Scenario: Silent connections are closed and new ones are used
    Given an entry
    And 2 backend servers that take 1 ms
    When the caller sends 60 requests
    And all open connections to the backend servers fall silent
    And the caller sends 20 requests with a deadline of 2000 ms
    Then each request received its own complete response
    And all silent connections are closed

  # Guards against a wait on each of the idle connections that fell silent together.
  Scenario: One silent connection closes the idle ones with it
    Given an entry
    And 1 backend server that takes 5 ms
    When the caller sends 6 requests at the same time
    And all open connections to the backend servers fall silent
    And the caller sends 6 requests
    Then each request received its own complete response
    And the counter routing.silent_connections is exactly 1

  # Guards against run-once requests whose outcome is unknown because an idle connection closed under them.
  Scenario: A connection that was idle for long is not taken when a fresh one is wanted
    Given connections to a backend server
    When a connection is used at 0 ms and given back
    Then at 900 ms it is taken again when at most 1000 ms idle are allowed
    And at 2000 ms a new one is taken when at most 1000 ms idle are allowed
    And at 2000 ms the idle one is taken when the limit allows no other
    And at 2000 ms nothing is taken when the limit is reached

  # Guards against a circuit that a probe of the announced address closes, while requests still go to an earlier one.
  Scenario: A backend server that announces another port is reached there
    Given an entry
    And a backend server that is announced behind a forwarder
    When the caller sends 3 requests
    And the forwarder falls silent and the backend server announces its own port
    And the caller sends 3 requests with a deadline of 2000 ms
    Then each request received its own complete response

  # Guards against a connection to an earlier address that is reused once its request has ended.
  Scenario: Connections that lead to an earlier address are not taken again
    Given connections to a backend server
    When of two connections one is given back, the port changes, and then the other is given back
    Then neither of the two is taken again

  # Guards against requests that two parsers would end at different places, and against answers outside the format.
  Scenario Outline: Malformed requests are refused as not run
    Given an entry
    And 1 backend server
    When a caller sends <request>
    Then the raw answer has status <status>, outcome not-run and reason <reason>
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

  # Guards against an entry that has just started and denies services that are declared.
  Scenario: An entry without configuration does not say that a service is unknown
    Given an entry
    When the entry has no configuration yet
    And the caller sends 1 request
    Then the caller receives status 503 with outcome not-run and reason no-backend-server

  # Guards against a refusal that the caller takes for the answer to its earlier request on the connection (P4).
  Scenario: Bad bytes after a request in flight are not answered
    Given an entry
    And 1 backend server that takes 200 ms
    When the caller sends a good request and then bad bytes on the same connection
    Then the caller got no answer that says not-run

  # Guards against headers of one connection that leak to the next, and against made-up outcomes of backend servers.
  Scenario: Headers of one hop are not passed on
    Given an entry
    And 1 backend server
    When the caller sends a request with hop-by-hop headers
    Then the backend server got no hop-by-hop header
    And it got the tenant, a deadline and a request id

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

  # Guards against a run-once request that is written in another way to be taken for an idempotent one (P5).
  Scenario: An escaped path is classified like the path itself
    Given rules: POST under /search is idempotent, anything under /orders is run-once, and the default is idempotent
    Then GET /%6frders/1 is runOnce
