Feature: Frames
  Guards against frames that are lost or mixed up at chunk boundaries, and against malicious bytes that exhaust the
  stack or the memory.

  Scenario: Frames are decoded completely wherever the stream is split
    Given random messages with seed 61204
    Then each message is decoded unchanged for every split of its bytes

  Scenario: Random bytes are either decoded or rejected with a FrameError
    Given random messages with seed 61205
    Then corrupted streams yield values of the schema or a FrameError

  Scenario Outline: Bytes outside the limits are rejected
    When the frame body <hex> is decoded
    Then the frame is rejected as "<fault>"

    Examples:
      | hex                  | fault     |
      |                      | malformed |
      | 8261                 | malformed |
      | 9affffffff           | malformed |
      | bb7fffffffffffffff01 | malformed |
      | 9f01ff               | malformed |
      | d81c80               | malformed |
      | 0101                 | malformed |
      | a1810101             | malformed |

  Scenario: A length over the limit is rejected before the body arrives
    When only the length prefix 4194305 has arrived
    Then the frame is rejected as "tooLong"

  Scenario: Deep nesting is rejected without recursion
    When an array nested 1000000 deep is decoded
    Then the frame is rejected as "malformed"

  Scenario: A value that the receiver would reject is not encoded
    Then a value nested 100 deep and a value of 5000000 bytes cannot be encoded
