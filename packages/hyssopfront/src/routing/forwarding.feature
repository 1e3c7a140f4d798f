Feature: Forwarding of idempotent requests

  # Guards against requests that are lost, misdelivered or repeated when nothing fails.
  Scenario: Requests are forwarded to announced backend servers and each receives its own response
    Given an entry
    And 3 backend servers that take 5 ms
    When the caller sends 30 requests
    Then each request received its own complete response
    And each request ran once

  Scenario: Concurrent requests are forwarded to several backend servers
    Given an entry
    And 6 backend servers that take 20 ms
    When the caller sends 10 requests at the same time
    Then each request received its own complete response
    And each request ran once
