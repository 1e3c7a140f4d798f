Feature: Registry of backend servers

  Background:
    Given a registry that expects a heartbeat each 1500 ms
    And stoc-1, started at 1000, announces itself ready as number 4

  # Guards against a delayed announcement that undoes a newer one.
  Scenario: A late announcement changes nothing
    When stoc-1, started at 1000, announces itself draining as number 6
    And stoc-1, started at 1000, announces itself ready as number 5
    Then stoc-1 is draining

  # Guards against work for a backend server that has said that it leaves.
  Scenario: A departure is final for the start that it belongs to
    When stoc-1 leaves
    And stoc-1, started at 1000, announces itself ready as number 9
    Then stoc-1 is left
    When stoc-1, started at 5000, announces itself ready as number 1
    Then stoc-1 is ready

  # Guards against an announcement from before a restart that takes the place of the new start.
  Scenario: An announcement of an earlier start changes nothing
    When stoc-1, started at 5000, announces itself ready as number 1
    And stoc-1, started at 1000, announces itself draining as number 8
    Then stoc-1 is ready

  Scenario: A departure of an earlier start changes nothing
    When stoc-1, started at 5000, announces itself ready as number 1
    Then a departure of stoc-1, started at 1000, is no record

  Scenario: Silence makes a backend server lost, and its next announcement brings it back
    When 4500 ms pass in the registry
    Then no backend server was lost
    When 1500 ms pass in the registry
    Then stoc-1 is lost
    When stoc-1, started at 1000, announces itself ready as number 5
    Then stoc-1 is ready

  # Guards against a flood of changes to every entry, one for each heartbeat.
  Scenario: A mere sign of life is no change
    When stoc-1, started at 1000, announces itself ready as number 5
    Then that was no change

  # Guards against full load on a backend server that has become cold again.
  Scenario: A backend server that becomes cold is a change, and the time left runs down
    When stoc-1, started at 1000, announces itself ready as number 5 and cold for 3000 ms
    Then that was a change
    When 1000 ms pass in the registry
    And stoc-1, started at 1000, announces itself ready as number 6 and cold for 2000 ms
    Then that was no change
    And stoc-1 is cold for 2000 ms

  # Guards against an acknowledged departure that nobody acts on, when the backend server is known to others only.
  Scenario: A departure of an unknown backend server binds those that know it
    When orders-1 leaves
    And orders-1, started at 1000, announces itself ready as number 9
    Then orders-1 is left
