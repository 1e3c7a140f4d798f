Feature: Forwarding of idempotent requests

  # Guards against a request path that loses, mixes up or repeats requests when nothing fails.
  Scenario: Requests reach announced backend servers and each gets its own answer
    Given an entry
    And 3 backend servers that take 5 ms
    When the caller sends 30 requests
    Then each request received its own complete response
    And each request ran once

  Scenario: Requests at the same time share the backend servers
    Given an entry
    And 6 backend servers that take 20 ms
    When the caller sends 10 requests at the same time
    Then each request received its own complete response
    And each request ran once
