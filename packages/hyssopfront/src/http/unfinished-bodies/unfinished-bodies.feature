Feature: Limits of unfinished bodies

  Background:
    Given a server that watches bodies and accepts 3 connections

  # Guards against a client that holds its memory and connection for as long as it likes.
  Scenario: A body without progress ends with its connection
    When a client sends a body without its end
    And 14000 ms pass
    Then its connection is open
    When 2000 ms pass
    Then its connection is closed, and "too-slow" is counted 1 time

  # Guards against a client that sends a byte now and then.
  Scenario: A body that is slower than the minimum rate ends with its connection
    When a client sends a body without its end
    And it sends 1 byte every 5000 ms, 3 times
    And 2000 ms pass
    Then its connection is closed, and "too-slow" is counted 1 time

  # Guards against limits that apply to requests whose backend server takes long.
  Scenario Outline: A request with <body> may wait for its response
    When a client sends a request with <body>
    And 60000 ms pass
    Then its connection is open

    Examples:
      | body         |
      | no body      |
      | a whole body |

  # Guards against clients that keep others from connecting, and against a limit that closes bodies in progress.
  Scenario: A new connection replaces the body that has made no progress for longest
    When a client sends a body without its end
    And 1000 ms pass
    And 2 other clients send bodies without their ends
    And another client connects
    Then the last connection is closed, and "too-many-connections" is counted 1 time
    When 1500 ms pass
    And another client connects
    Then its connection is closed, and "stalled" is counted 1 time
    And the last connection is open

  # Guards against an object for each chunk, and against chunks that are lost or change places.
  Scenario Outline: A body in chunks of <sizes> bytes is delivered whole in at most <delivered> chunks
    When a client sends a body of 120000 bytes in chunks of <sizes> bytes
    Then it is delivered whole in at most <delivered> chunks

    Examples:
      | sizes        | delivered |
      | 1            | 600       |
      | 1 and 5000   | 120       |
      | 70000        | 20        |
