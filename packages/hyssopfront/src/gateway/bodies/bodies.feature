Feature: Memory for the bodies of callers' requests

  Background:
    Given an entry that may buffer 4000000 bytes of bodies and accepts bodies of 8000000 bytes

  # Guards against a process that exceeds the memory of its instance and is killed, because callers send long bodies
  # without a length.
  Scenario: A long body without a length is streamed
    When 1 caller sends 6000000 bytes without a length
    Then 1 body is streamed
    And at most 1048576 bytes are reserved
    And each body is read whole

  # Guards against a process that is killed for its memory, because many callers send bodies at once.
  Scenario Outline: Bodies for which there is no memory are streamed
    When 12 callers send 900000 bytes <length>
    Then at least 8 bodies are streamed
    And at most 4000000 bytes are reserved
    And each body is read whole

    Examples:
      | length           |
      | with a length    |
      | without a length |

  # Guards against an entry that can no longer repeat any request with a body, because few callers hold all memory.
  Scenario Outline: Short bodies are buffered although there is no memory
    Given other requests have reserved 4000000 bytes
    When 4 callers send 4096 bytes <length>
    Then 0 bodies are streamed
    And each body is read whole

    Examples:
      | length           |
      | with a length    |
      | without a length |

  # Guards against an entry that can no longer repeat requests, because memory is not returned.
  Scenario: The memory of a body is returned
    When 4 callers send 900000 bytes with a length
    And their requests end
    Then at most 0 bytes are reserved
    When 4 callers send 900000 bytes with a length
    Then 0 bodies are streamed

  Scenario Outline: A body that is larger than the limit is not accepted
    When 1 caller sends 8000001 bytes <length>
    Then no body is read whole, because it is too large

    Examples:
      | length           |
      | with a length    |
      | without a length |

  # Guards against memory that is held for callers that read slowly or have left, or returned before they have read.
  Scenario Outline: The memory of a response is held until it is sent or its connection is closed
    When a caller <gets> and reads nothing
    Then 200 ms later at least <bytes> bytes are reserved
    When the caller <ends>
    Then within 3000 ms 0 bytes are reserved

    # The kernel takes the first megabytes.
    Examples:
      | gets                                        | bytes    | ends        |
      | gets a response of 8000000 bytes            | 8000000  | reads it    |
      | gets a response of 8000000 bytes            | 8000000  | disconnects |
      | pipelines 4 requests for 4000000 bytes each | 12000000 | reads it    |
      | pipelines 4 requests for 4000000 bytes each | 12000000 | disconnects |
