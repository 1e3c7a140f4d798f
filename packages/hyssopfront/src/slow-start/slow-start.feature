Feature: Slow start of a backend server across all entries

  # Guards against overloading a cold backend server when each entry sends it at least one request per second.
  Scenario: All entries together do not exceed the slow-start limit of a backend server
    Given a control instance and 12 entries
    And a backend server that is cold for 3000 ms and limited to 3 requests per second
    When 4 callers send a request to each entry concurrently
    And 4 callers send a request to each entry concurrently after 1100 ms
    Then the backend server received at least 2 requests, and at most 3 in any second

  # Guards against a cold backend server that receives no requests because the entries with quotas have stopped.
  Scenario: Other entries take over the quotas of entries that stop
    Given a control instance and 12 entries
    And a backend server that is cold for 3000 ms and limited to 3 requests per second
    When 9 entries stop, including all that have a quota
    And it announces itself again, cold for 3000 ms
    And 4 callers send a request to each entry concurrently
    Then the backend server received at least 3 requests, and at most 3 in any second

  Scenario Outline: The slow-start limit is divided into quotas of whole requests
    When <limit> requests per second are divided among <entries> entries
    Then the quotas are <quotas>

    Examples:
      | limit | entries | quotas |
      | 3.3   | 12      | 1,1,1  |
      | 17    | 3       | 6,6,5  |
      | 0.4   | 2       | 1      |
      | 1E300 | 2       | 500000,500000 |
      | 1E400 | 1       | 1000000 |
      | 3.3   | 0       | none   |

  # Guards against exceeding the limit when a quota moves and both entries use it within the same second.
  Scenario: Quotas are kept while all of their entries are candidates
    Given 3 requests per second are divided among 12 entries
    When they are divided again among the same entries in another order
    Then the quotas have not changed
    When they are divided again without the first of the entries with a quota
    Then the quotas have changed
