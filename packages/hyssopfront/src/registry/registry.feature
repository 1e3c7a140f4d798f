Feature: Registry of backend servers

  Background:
    Given a registry that expects a heartbeat every 1500 ms
    And stoc-1, started at 1000, announces itself ready with sequence number 4

  # Guards against a delayed announcement that reverts a newer one.
  Scenario: A delayed announcement has no effect
    When stoc-1, started at 1000, announces itself draining with sequence number 6
    And stoc-1, started at 1000, announces itself ready with sequence number 5
    Then the state of stoc-1 is draining

  # Guards against requests to a backend server that has announced its departure.
  Scenario: A departure is final until the backend server restarts
    When stoc-1 leaves
    And stoc-1, started at 1000, announces itself ready with sequence number 9
    Then the state of stoc-1 is left
    When stoc-1, started at 5000, announces itself ready with sequence number 1
    Then the state of stoc-1 is ready

  # Guards against a delayed announcement from before a restart that replaces the record of the new start.
  Scenario: An announcement of an earlier start has no effect
    When stoc-1, started at 5000, announces itself ready with sequence number 1
    And stoc-1, started at 1000, announces itself draining with sequence number 8
    Then the state of stoc-1 is ready

  Scenario: A departure of an earlier start has no effect
    When stoc-1, started at 5000, announces itself ready with sequence number 1
    Then a departure of stoc-1, started at 1000, creates no record

  Scenario: A backend server without heartbeats is lost until its next announcement
    When 4500 ms pass in the registry
    Then no backend server was lost
    When 1500 ms pass in the registry
    Then the state of stoc-1 is lost
    When stoc-1, started at 1000, announces itself ready with sequence number 5
    Then the state of stoc-1 is ready

  # Guards against publishing every heartbeat to every entry.
  Scenario: A heartbeat without changes is not a change
    When stoc-1, started at 1000, announces itself ready with sequence number 5
    Then that was not a change

  # Guards against full load on a backend server that has become cold again.
  Scenario: A backend server that becomes cold is a change, and its remaining slow start decreases
    When stoc-1, started at 1000, announces itself ready with sequence number 5 and cold for 3000 ms
    Then that was a change
    When 1000 ms pass in the registry
    And stoc-1, started at 1000, announces itself ready with sequence number 6 and cold for 2000 ms
    Then that was not a change
    And stoc-1 is cold for 2000 ms

  # Guards against an acknowledged departure without effect, when only other instances know the backend server.
  Scenario: A departure of an unknown backend server supersedes its later announcements
    When orders-1 leaves
    And orders-1, started at 1000, announces itself ready with sequence number 9
    Then the state of orders-1 is left
