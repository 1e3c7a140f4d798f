Feature: Fault-injecting TCP proxy
  Guards against a proxy that loses or reorders bytes without an injected fault, or that forwards bytes in spite of one.

  Background:
    Given an echo server behind a proxy

  Scenario: Bytes arrive unchanged and in order with a delay and a limited rate
    The expected minimum is two delays and 50 ms of rate limiting in the first direction, less 10 ms for the rounding of
    timers.
    When both directions are delayed by 30 ms and limited to 4000000 bytes a second
    And a client sends 200000 bytes
    Then they return unchanged, not before 100 ms have passed

  Scenario: A held direction delivers its bytes when it is opened again
    When the direction to the client is held
    And a client sends 100 bytes
    Then the echo server receives them and nothing returns
    When the direction to the client is opened
    Then they return unchanged

  Scenario: A dropped direction delivers nothing more, its connection stays open and a new connection works
    When a client sends 100 bytes
    And the direction to the server of the first connection is dropped
    And the client sends 100 more bytes and the direction is opened again
    Then nothing more reaches the echo server and the connection is still open
    And a new client receives its bytes back

  Scenario: A reset reaches both ends
    When a client sends 100 bytes
    And the proxy resets all connections
    Then the client and the echo server receive a reset

  Scenario: New connections are refused while open ones continue
    When a client sends 100 bytes
    And the proxy refuses new connections
    Then a new client is refused and the first one still receives its bytes back
    When the proxy accepts new connections
    Then a new client receives its bytes back
