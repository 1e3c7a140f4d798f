Feature: Connections whose idle time is over

  # Guards against a request that is reset unread, because the idle time ended in a pause of the process, and timers run
  # before connections are read.
  Scenario: A request that was sent before the idle time was over is answered after a pause of the process
    Given a server with a kept connection and an idle time of 100 ms
    When its client sends a request and the process pauses for 1500 ms
    Then the client gets a response

  # Guards against the first part of a request that is reset with its connection.
  Scenario: A request that arrives in two parts around a pause is answered
    Given a server with a kept connection and an idle time of 100 ms
    When its client sends half a request, the process pauses for 1500 ms and the client sends the rest
    Then the client gets a response

  # Guards against idle connections that are never closed.
  Scenario Outline: A connection that stays idle is closed
    Given a server with a kept connection and an idle time of 100 ms
    When <pause>
    Then the connection is closed within 5000 ms without a response

    Examples:
      | pause                                                               |
      | the process pauses for 1500 ms                                      |
      | its client sends half a request, and the process pauses for 1500 ms |
