Feature: Responses that a dispatch accepts

  # Guards against a success with an empty or short body, framed as whole, when a backend server stops within a response.
  Scenario Outline: A response with <framing> that is cut off anywhere is not accepted
    Given a backend server that responds with <framing> on <connection>
    When it <cut> after each number of bytes
    Then no dispatch is completed, and each is failed
    When it sends the whole response
    Then the dispatch is completed with the whole body

    Examples:
      | framing                             | connection          | cut                   |
      | a length                            | a new connection    | closes the connection |
      | a length                            | a reused connection | closes the connection |
      | a length                            | a new connection    | resets the connection |
      | a length and connection close       | a new connection    | closes the connection |
      | chunks                              | a new connection    | closes the connection |
      | chunks                              | a reused connection | closes the connection |
      | chunks and connection close         | a new connection    | closes the connection |
      | chunks and connection close         | a new connection    | resets the connection |
      | chunks behind an informational one  | a new connection    | closes the connection |

  # Guards against a long response that is taken for bytes without end, while its caller reads more slowly than it arrives.
  Scenario: A long response is streamed whole to a slow caller
    Given a backend server that responds with a long body on a new connection
    When a caller takes 1 ms for each chunk of the response
    Then the dispatch is streamed with all bytes

  # Guards against an entry that ends with all its requests when a backend server closes a connection whose reading is
  # paused, because the caller reads more slowly than the response arrives.
  Scenario Outline: A backend server that <end> while the reading of <framing> is paused ends no process
    Given a backend server that responds with <framing> on a new connection
    When it <end> while a slow caller takes the last chunk of the response
    Then the dispatch is <outcome>

    Examples:
      | framing                           | end                                  | outcome                 |
      | a long body and connection close  | closes the connection after the body | streamed with all bytes |
      | a long body without a length      | closes the connection after the body | streamed with all bytes |
      | a long body and connection close  | resets the connection in the body    | cut off                 |
      | a long body without a length      | resets the connection in the body    | cut off                 |

  # Guards against a process that exceeds the memory of its instance and is killed, because many callers read slowly.
  Scenario: Responses for which there is no memory are streamed
    Given a backend server that responds with a length on a new connection
    And there is memory for 120 bytes of bodies
    Then at least 8 of 10 dispatches at once are streamed

  # Guards against a failure that can no longer be retried, or that claims that the request has not run.
  Scenario: A failure is not streamed for lack of memory
    Given a backend server that responds with a failure on a new connection
    And there is memory for 0 bytes of bodies
    When it sends the whole response
    Then the dispatch is completed with the whole body

  # Guards against a body that keeps all the bytes in memory that a faulty backend server sends between its chunks.
  Scenario: A collected body keeps no more memory than its own bytes
    When 2000 views of 1 byte on 65536 bytes each are collected
    Then none of the memory behind the views is kept
    And the body has 2000 bytes
