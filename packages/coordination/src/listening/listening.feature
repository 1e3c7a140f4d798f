Feature: Listening at an address that is not available for a moment

  # Guards against a start that fails because a predecessor still uses the port.
  Scenario: A server listens once the port is free
    Given another server at the port
    When a server that waits for its port for ever listens there
    And 25000 ms pass
    Then it does not listen
    And the refusals were reported at 0, 10000 and 20000 ms with code "EADDRINUSE"
    When the other server closes
    And 50 ms pass
    Then it listens
    And its wait of 25050 ms was reported

  # Guards against a process that hangs instead of reporting a port that stays in use.
  Scenario: A wait that is over ends with the failure
    Given another server at the port
    When a server that waits for its port for 1000 ms listens there
    And 950 ms pass
    Then it does not listen
    When 50 ms pass
    Then listening fails with code "EADDRINUSE"

  # Guards against a stop that waits for a port.
  Scenario: An abort ends the wait
    Given another server at the port
    When a server that waits for its port for ever listens there
    And 1000 ms pass
    And its wait is aborted
    Then listening fails with the reason of the abort

  # Guards against a wait for a failure that does not pass by itself.
  Scenario: A failure of the settings is final
    When a server that waits for its port for ever listens at port 70000
    Then listening fails with code "ERR_SOCKET_BAD_PORT"
