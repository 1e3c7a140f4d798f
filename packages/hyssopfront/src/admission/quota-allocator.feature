Feature: Quota allocator on the control leader

  Background:
    Given a leader with a cap of 1000 requests and entries "entry-1" and "entry-2" that have reported

  Scenario: Demands that fit are granted, with half of the surplus as headroom
    When "entry-1" demands 150 requests
    Then "entry-1" is granted 550

  Scenario: Demands that do not fit receive equal quotas
    When "entry-1" demands 1000 requests
    And "entry-2" demands 1000 requests
    And "entry-1" demands 1000 requests
    And "entry-1" demands 1000 requests
    And "entry-2" demands 1000 requests
    Then "entry-1" is granted 500
    And "entry-2" is granted 500

  Scenario: A quota is counted until its lease and the window have expired, and then only its floor
    When "entry-1" demands 1000 requests
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 50
    When 5900 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 50
    When 200 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 950

  Scenario: The floor of a disconnected entry is counted in full after the limit was lowered
    When "entry-1" demands 1000 requests
    And the cap is lowered to 60 requests
    And 7000 milliseconds pass at the leader
    And "entry-2" demands 60 requests
    Then "entry-2" is granted 10

  Scenario: A new leader counts the floors of entries without a report by the earlier limits
    When the cap is lowered to 60 requests
    And 1100 milliseconds pass at the leader
    And "entry-2" demands 60 requests
    And a new term starts
    And 7000 milliseconds pass at the leader
    And "entry-2" demands 60 requests
    Then "entry-2" is granted 10

  Scenario: A new leader only extends leases until every entry has reported and a window has passed
    When "entry-1" demands 1000 requests
    And a new term starts
    And "entry-1" demands 1000 requests
    Then "entry-1" may keep 950 without a new grant
    When "entry-2" demands 1000 requests
    And "entry-1" demands 1000 requests
    And "entry-2" demands 1000 requests
    And 900 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" may keep 50 without a new grant
    When 200 milliseconds pass at the leader
    And "entry-1" demands 100 requests
    And "entry-1" demands 100 requests
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 900

  Scenario: A report that is older than the leadership does not end the learning period
    When a new term starts
    And "entry-2" demands 1000 requests
    And a report of "entry-1" from the earlier term arrives
    And 1100 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" may keep 50 without a new grant

  Scenario: A delayed message of an ended process does not replace its successor
    When a new term starts
    And "entry-1" restarts and reports twice
    And a delayed message of the ended process of "entry-1" arrives
    Then the new process of "entry-1" still receives grants

  Scenario: A removed entry receives no quota, and its former quota is free after its lease
    When "entry-1" demands 1000 requests
    And "entry-1" is removed from the configuration
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 50
    When "entry-1" demands 1000 requests
    Then "entry-1" is granted 0
    When 6100 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 1000

  Scenario: A new leader waits for the lease of an entry that was removed earlier
    When "entry-1" demands 1000 requests
    And "entry-1" is removed from the configuration
    And a new term starts
    And "entry-2" demands 1000 requests
    And "entry-2" demands 1000 requests
    And 1100 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" may keep 50 without a new grant

  Scenario: The quota of an ended process is counted in addition to that of its successor until its lease has expired
    When "entry-1" demands 1000 requests
    And "entry-1" restarts and reports twice
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 50
    When 6100 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 950

  Scenario: Renewals without a send time are ordered by arrival
    Given "entry-1" does not send the time of its renewals
    When "entry-1" demands 150 requests
    And "entry-1" demands 0 requests
    Then "entry-1" is granted 50

  Scenario: The quota of a gracefully ended session is free after a window
    When "entry-1" demands 1000 requests
    And the session of "entry-1" ends
    And 1100 milliseconds pass at the leader
    And "entry-2" demands 1000 requests
    Then "entry-2" is granted 950

  # Guards against floors with fractions of a request, which no entry can use and which reduce the usable cap.
  Scenario: A small cap is not divided into floors, and one entry can use all of it
    When the cap is lowered to 15 requests
    And "entry-2" demands 0 requests
    And "entry-2" demands 0 requests
    And "entry-1" demands 15 requests
    Then "entry-1" is granted exactly 15
