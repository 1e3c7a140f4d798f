Feature: Admission on one entry

  Background:
    Given an entry with a cap of 100 requests and 1000000 bytes per second

  Scenario: The usage of any second stays within the quota, also while the quota changes
    Then random reservations with changing quotas keep the usage of the last second within the current quota

  Scenario: A reservation that exceeds one budget acquires nothing from the others
    Given quotas of 50 requests and 1000 bytes
    When a request with 2000 bytes is reserved
    Then the reservation is rejected for its bytes
    And 50 requests are available

  Scenario: A lowered limit applies before the next grant
    Given quotas of 50 requests and 1000 bytes
    When the cap is lowered to 20 requests and raised to 100 again
    Then 10 requests are available

  Scenario: A disconnected entry keeps its floor, and its leased quota expires
    Given quotas of 50 requests and 1000 bytes
    When 5000 milliseconds pass
    Then 10 requests are available

  Scenario: Grants in the reply to an earlier renewal are ignored
    When two renewals are sent and the first is granted 50 requests
    Then 0 requests are available

  Scenario: A response that exceeds its reservation waits for capacity
    Given quotas of 50 requests and 1000 bytes
    When 2500 bytes wait for capacity
    Then the wait ends after 2000 to 2100 milliseconds

  Scenario: A wait for capacity ends when its request is cancelled
    Given quotas of 50 requests and 1000 bytes
    When 2500 bytes wait for capacity and the request is cancelled
    Then the wait was rejected and no demand remains after a second

  Scenario: The limit of connections is divided equally among the entries
    Then 390 connections to a backend server are shared by 1 entry

  # Guards against a disconnected entry that releases its floor. Without the quota allocator it cannot get any slots again.
  Scenario: A disconnected entry keeps its floor when an announcement expires
    Given a floor of 3 slots of an announced backend server
    When the entry is disconnected
    And the announcement expires during a renewal and is then received again
    Then 3 slots are available
    And the floor is 3 slots

  Scenario: A connected entry releases the floor of a backend server whose announcement has expired
    Given a floor of 3 slots of an announced backend server
    When the announcement expires during a renewal and is then received again
    Then 0 slots are available
    And the floor is 0 slots

  # Guards against static quotas of less than one slot, with which the baseline could not serve any request.
  Scenario: Static quotas contain only whole slots
    Then static quotas of 6 slots give six of 7 entries one slot each
