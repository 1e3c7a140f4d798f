Feature: Requests to a cold backend server, over all entries

  # Guards against a cold backend server that is flooded because each entry sends it at least one request a second.
  Scenario: Many entries together send a cold backend server no more than it bears
    Given a control instance and 12 entries
    And a backend server that is cold for 3000 ms and bears 3 requests a second
    When 4 callers ask each entry at once
    And 4 callers ask each entry at once after 1100 ms
    Then the backend server got at least 2 and at most 3 requests in any second
