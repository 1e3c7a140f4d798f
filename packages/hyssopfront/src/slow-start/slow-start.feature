Feature: Requests to a cold backend server, over all entries

  # Guards against a cold backend server that is flooded because each entry sends it at least one request a second.
  Scenario: Many entries together send a cold backend server no more than it bears
    Given a control instance and 12 entries
    And a backend server that is cold for 3000 ms and bears 3 requests a second
    When 4 callers ask each entry at once
    And 4 callers ask each entry at once after 1100 ms
    Then the backend server got at least 2 and at most 3 requests in any second

  # Guards against a cold backend server that gets nothing, as the entries that may use it have ended.
  Scenario: Others take over from entries that end
    Given a control instance and 12 entries
    And a backend server that is cold for 3000 ms and bears 3 requests a second
    When 9 entries end, all that may use it among them
    And it announces itself again, cold for 3000 ms
    And 4 callers ask each entry at once
    Then the backend server got at least 3 and at most 3 requests in any second

  Scenario Outline: What a cold backend server bears is divided in whole requests
    When <borne> requests a second are divided among <entries> entries
    Then the portions are <portions>

    Examples:
      | borne | entries | portions |
      | 3.3   | 12      | 1,1,1    |
      | 17    | 3       | 6,6,5    |
      | 0.4   | 2       | 1        |
      | 3.3   | 0       | none     |

  # Guards against two entries that both use their portions of one second, as they take turns.
  Scenario: A division stays in force while its entries are there
    Given 3 requests a second are divided among 12 entries
    When they are divided again among the same entries in another order
    Then the division is the same
    When they are divided again without the first of its entries
    Then the division is another
