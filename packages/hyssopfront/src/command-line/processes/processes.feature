Feature: Starting and stopping processes

  Scenario: A check reports the problems of all files and starts nothing
    Given invalid settings of a control instance
    When "check BROKEN docs/examples/entry-1.toml MISSING" is run
    Then the exit code is 1 and the error output contains "instance.address: Use an IP address, not a host name."
    And the error output contains "Cannot read the file"
    And the output contains "docs/examples/entry-1.toml: no problems"

  Scenario: A process with invalid settings does not start
    Given invalid settings of a control instance
    When "control BROKEN" is run
    Then the exit code is 1 and the error output contains "instance.address: Use an IP address, not a host name."
    And no data folder was created

  Scenario Outline: A process whose port is in use exits with the reason instead of hanging
    Given the settings of an entry whose <port> is in use
    When "entry SETTINGS" is run
    Then the exit code is 1 and the error output contains "address already in use"

    Examples:
      | port       |
      | callerPort |
      | adminPort  |
      | peerPort   |

  Scenario: An entry whose token is too short does not start
    Given the settings of an entry whose token is "short"
    When "entry SETTINGS" is run
    Then the exit code is 1 and the error output contains "one token of at least 16 characters"

  Scenario: The settings of another kind of process are rejected
    When "entry docs/examples/control-1.toml" is run
    Then the exit code is 1 and the error output contains "entry: This table is needed for this command."

  Scenario: The binary runs outside the repository
    Given the built binary in an empty folder
    When the binary is run with "--version"
    Then the exit code is 0 and the output contains "0.1.0"
    When the binary is run with "--help"
    Then the exit code is 0 and the output contains "hyssopfront control <settings>"

  Scenario: Ctrl-C stops the development system gracefully
    Given a running development system
    And the entry serves requests
    When SIGINT is sent while a request is in flight
    Then the response is complete and the process exits with code 0 and no error output

  # Guards against a repeated SIGTERM that ends a stopping process at once, with the requests that it works on.
  Scenario: A second SIGTERM does not cut off the requests of a stopping system
    Given a running development system
    And the entry serves requests
    When SIGTERM is sent twice while a request is in flight
    Then the response is complete and the process exits with code 0 and no error output
