Feature: Connections of callers when an entry stops

  # Guards against a request that is reset unread, because the process paused after it was sent and timers run first.
  Scenario: A request that was sent during a pause of the process is answered although its connection counts as unused
    Given a server with a kept connection that counts as unused
    When its caller sends a request right before unused connections are closed
    Then the caller gets a response

  # Guards against connections that are reset in the kernel's queue, of which each turn of the event loop accepts one.
  Scenario: Connections that wait to be accepted are served before a server stops accepting
    Given a server
    When 40 callers have connected and sent requests right before it stops accepting
    Then all 40 callers get a response
    And the server accepts no further connection

  # Guards against a stop that never ends, because callers connect faster than their connections are accepted.
  Scenario: A server whose queue is never empty stops accepting at the end of the time for it
    Given a server
    When callers keep connecting while it stops accepting within 300 ms
    Then the server accepts no further connection
