Feature: Callers that read slowly or not at all

  Background:
    Given an entry that holds 1000000 bytes of unread responses and closes connections that are stalled for 60000 ms
    And requests to stoc may take 15000 ms

  # Guards against a process that exceeds the memory of its instance, because many callers do not read their responses.
  Scenario Outline: What the entry holds for callers that do not read is bounded
    Given stoc-1 responds with <response>
    When <callers> <send> and read nothing
    Then at least 1 caller is cut off for lack of memory
    And the entry holds at most 1000000 bytes for callers
    And another caller gets 200 with 1000 bytes

    # The kernel takes the first 4 megabytes of each connection.
    Examples:
      | response                      | callers    | send                 |
      | 6000000 bytes                 | 30 callers | send a request       |
      | 6000000 bytes without a length | 30 callers | send a request       |
      | 200000 bytes                  | 10 callers | pipeline 40 requests |
      | status 404 and 200000 bytes   | 10 callers | pipeline 40 requests |

  # Guards against connections and memory that callers hold for as long as they like.
  Scenario: A caller that reads nothing is cut off
    Given connections may be stalled for 1500 ms
    And stoc-1 responds with 200000 bytes
    When 1 caller pipelines 40 requests and reads nothing
    Then within 4000 ms it is cut off, as it is stalled
    And the log has no internal error

  Scenario: A caller that reads slowly gets all its responses
    Given connections may be stalled for 1500 ms
    And stoc-1 responds with 200000 bytes
    When 1 caller pipelines 40 requests and reads 400000 bytes every 250 ms
    Then it gets 40 responses with 200000 bytes each
    And no caller is cut off

  # Guards against a slot of a backend server that a caller holds for as long as it likes, and against successes that
  # no caller has got.
  Scenario: A streamed response that is not read ends at the deadline
    Given connections may be stalled for 60000 ms
    And requests to stoc may take 1500 ms
    And stoc-1 responds with 8000000 bytes
    When 1 caller sends a request and reads nothing
    Then within 2500 ms the connection to stoc-1 is closed
    And the request ended as caller-slow
    And the log has no internal error
    When the caller reads what it can
    Then its response is not complete

  # Guards against backend servers that are taken for faulty, and against short responses that look complete, because
  # backend servers cut off what is not read.
  Scenario Outline: A response that is not read, so that its backend server <cuts>, is no success and no failure
    Given connections may be stalled for 60000 ms
    And stoc-1 responds with <response> and <cuts> after 5000 ms
    When 5 callers send a request and read nothing
    And 5000 ms later they read what they can
    Then their responses are not complete
    And the requests ended as caller-slow
    And stoc-1 is not ejected
    And another caller gets 200 with 1000 bytes

    Examples:
      | response                        | cuts                 |
      | 16000000 bytes                  | resets it            |
      | 16000000 bytes                  | closes it            |
      | 16000000 bytes in chunks        | closes it            |
      | 16000000 bytes without a length | resets it            |
      | 16000000 bytes without a length | closes it            |

  # Guards against a broken response that looks complete to a caller that relies on the end of the connection.
  Scenario: A streamed response that is cut off is reset for a caller of HTTP/1.0
    Given stoc-1 responds with 3000000 bytes without a length and resets it after 300 ms
    When a caller of HTTP/1.0 sends a request and reads what it can
    Then its connection is reset

  # Guards against metrics that count responses as delivered that no caller has got.
  Scenario: A buffered response that is cut off because it is not read is not counted as answered
    Given connections may be stalled for 1500 ms
    And stoc-1 responds with 200000 bytes
    When 1 caller pipelines 40 requests and reads nothing
    Then within 4000 ms it is cut off, as it is stalled
    And some requests ended as caller-slow, and together with those that ended as answered they are 40
