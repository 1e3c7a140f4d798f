Feature: Grants of portions by the control leader

  Background:
    Given a leader with a cap of 1000 requests and entries "entry-1" and "entry-2" that have reported

  Scenario: Demands that fit are met, and half of the rest stays for others
    When "entry-1" wants 150 requests
    Then "entry-1" is granted 550

  Scenario: Demands that do not fit are met evenly
    When "entry-1" wants 1000 requests
    And "entry-2" wants 1000 requests
    And "entry-1" wants 1000 requests
    And "entry-1" wants 1000 requests
    And "entry-2" wants 1000 requests
    Then "entry-1" is granted 500
    And "entry-2" is granted 500

  Scenario: A portion counts until its lease and window have ended, then the floor remains
    When "entry-1" wants 1000 requests
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 50
    When 5900 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 50
    When 200 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 950

  Scenario: The floor of a cut-off entry counts in full after the limit was lowered
    When "entry-1" wants 1000 requests
    And the cap is lowered to 60 requests
    And 7000 milliseconds pass at the leader
    And "entry-2" wants 60 requests
    Then "entry-2" is granted 10

  Scenario: A new leader counts floors of entries that it has not heard from by the limits that were in force
    When the cap is lowered to 60 requests
    And 1100 milliseconds pass at the leader
    And "entry-2" wants 60 requests
    And another term begins
    And 7000 milliseconds pass at the leader
    And "entry-2" wants 60 requests
    Then "entry-2" is granted 10

  Scenario: A new leader only prolongs until every entry has reported and a window has passed
    When "entry-1" wants 1000 requests
    And another term begins
    And "entry-1" wants 1000 requests
    Then "entry-1" may keep 950 and gets nothing new
    When "entry-2" wants 1000 requests
    And "entry-1" wants 1000 requests
    And "entry-2" wants 1000 requests
    And 900 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" may keep 50 and gets nothing new
    When 200 milliseconds pass at the leader
    And "entry-1" wants 100 requests
    And "entry-1" wants 100 requests
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 900

  Scenario: A report that is older than the leadership does not count as heard
    When another term begins
    And "entry-2" wants 1000 requests
    And a report of "entry-1" from the earlier term arrives
    And 1100 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" may keep 50 and gets nothing new

  Scenario: A late message of an ended process does not displace its successor
    When another term begins
    And "entry-1" restarts and reports twice
    And a late message of the ended process of "entry-1" arrives
    Then the new process of "entry-1" still gets answers with grants

  Scenario: An entry that was removed gets nothing, and what it held is free after its lease
    When "entry-1" wants 1000 requests
    And "entry-1" is removed from the configuration
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 50
    When "entry-1" wants 1000 requests
    Then "entry-1" is granted 0
    When 6100 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 1000

  Scenario: A new leader waits for the lease of an entry that was removed before
    When "entry-1" wants 1000 requests
    And "entry-1" is removed from the configuration
    And another term begins
    And "entry-2" wants 1000 requests
    And "entry-2" wants 1000 requests
    And 1100 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" may keep 50 and gets nothing new

  Scenario: What an ended process held counts beside its successor until its lease has ended
    When "entry-1" wants 1000 requests
    And "entry-1" restarts and reports twice
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 50
    When 6100 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 950

  Scenario: Renewals that do not say when they were sent count in the order of arrival
    Given "entry-1" does not say when it sends
    When "entry-1" wants 150 requests
    And "entry-1" wants 0 requests
    Then "entry-1" is granted 50

  Scenario: A session that ended gracefully is free after a window
    When "entry-1" wants 1000 requests
    And the session of "entry-1" ends
    And 1100 milliseconds pass at the leader
    And "entry-2" wants 1000 requests
    Then "entry-2" is granted 950

  # Guards against floors of parts of a request, which no entry can use and which leave the cap unused.
  Scenario: Floors of a small cap leave it whole to the entries that need it
    When the cap is lowered to 15 requests
    And "entry-2" wants 0 requests
    And "entry-2" wants 0 requests
    And "entry-1" wants 15 requests
    Then "entry-1" is granted exactly 15
