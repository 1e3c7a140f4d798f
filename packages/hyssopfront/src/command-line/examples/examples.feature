Feature: Examples in the documentation

  Scenario Outline: The example settings are valid
    When "check docs/examples/<file>" is run
    Then the exit code is 0 and the output contains "no problems"

    Examples:
      | file           |
      | entry-1.toml   |
      | control-1.toml |

  Scenario: The example backend server announces itself, serves, rejects excess requests and shuts down gracefully
    Given a running development system
    When the example "backend-server.mjs" is started for the service "stoc"
    Then it responds to requests to "stoc"
    And it rejects requests beyond its slots before running them
    And it is used again after a drain has ended
    When SIGTERM is sent to it while a request is in flight
    Then the response is complete
    And no entry knows the backend server, and it exited with code 0

  Scenario: The minimal example backend server announces itself, serves and shuts down
    Given a running development system
    When the example "minimal-backend-server.mjs" is started for the service "stoc"
    Then it responds to requests to "stoc"
    When SIGTERM is sent to it and it has exited
    Then no entry knows the backend server, and it exited with code 0

  # Guards against a guide that shows a program other than the tested one.
  Scenario Outline: The guide shows the tested backend servers
    Then the page "backend-server-guide.md" contains the example "<file>" unchanged

    Examples:
      | file                       |
      | minimal-backend-server.mjs |
      | backend-server.mjs         |

  Scenario: The example idempotency key is valid
    When the example that generates an idempotency key is run
    Then the key is valid

  Scenario: The documentation mentions only commands and counters that exist
    Then each command line in the documentation can be parsed
    And each counter in the runbook occurs in the source code
