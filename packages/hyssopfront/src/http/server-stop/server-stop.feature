Feature: Stop of a server

  # Guards against a stop that never ends, because clients connect as fast as their connections are accepted.
  Scenario: A server to which clients keep connecting stops
    Given a server whose stop has no time limit
    When clients keep connecting while it stops
    Then it has stopped within 10000 ms
