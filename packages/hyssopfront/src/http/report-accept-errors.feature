Feature: Failures to accept connections

  # Guards against a process that ends because a connection cannot be accepted, and against a log that is full of it.
  Scenario: A server that cannot accept connections keeps listening
    Given a server whose failures to accept are reported
    When 1000 connections cannot be accepted, 5 ms apart
    Then 1 line of the log tells that accepting a connection failed with code "EMFILE"
    And 1000 failures are counted
    When 2000 connections cannot be accepted, 5 ms apart
    Then 2 lines of the log tell that accepting a connection failed with code "EMFILE"
    And the server accepts a connection
