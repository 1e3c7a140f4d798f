Feature: Connections that wait to be accepted

  # Guards against a caller that is rejected although its request has not waited, because it opened its connection earlier.
  Scenario: A request that is sent after its connection has waited too long to be accepted counts as in time
    Given a server each of whose turns of the event loop takes 5 ms
    When 150 callers connect at once and send their requests after all connections are accepted and 1000 ms have passed
    Then at least 10 connections have waited too long, and 0 of 150 requests
