Feature: Sessions of entries and the revision in force

  Background:
    Given a leader at revision 10 with the entries "entry-1" and "entry-2" at that revision

  Scenario: An entry that has stopped renewing delays a change until its lease has ended
    When revision 11 is committed and only "entry-1" applies it
    Then revision 11 is not in force, and after 3 seconds it is stalled by "entry-2"
    When "entry-1" renews until 5009 milliseconds have passed since the last renewal of "entry-2"
    Then revision 11 is not in force
    When "entry-1" renews until 5011 milliseconds have passed since the last renewal of "entry-2"
    Then revision 11 is in force

  Scenario: An entry that renews without applying a change delays it for as long as it renews
    When revision 11 is committed and only "entry-1" applies it
    And both entries renew for 20 seconds, "entry-2" at revision 10
    Then revision 11 is not in force
    And revision 11 is stalled by "entry-2"

  Scenario: An entry gets no lease below a revision that was reported in force
    When revision 11 is committed and only "entry-1" applies it
    And 6000 milliseconds pass
    Then revision 11 is in force
    And "entry-2" gets no lease at revision 10, and gets one at revision 11

  Scenario: A new leader waits for entries that have not reported to it
    When a new leader starts at revision 10 and only "entry-1" reports
    Then revision 10 is not in force, and "entry-2" is listed as not reported
    When "entry-1" renews until 5011 milliseconds have passed since the election
    Then revision 10 is in force

  Scenario: A new leader grants no lease below what the previous one may have reported in force
    When a new leader starts at revision 12
    Then "entry-2" gets no lease at revision 11, and gets one at revision 12

  Scenario: Only one process at a time can use a name
    Then "entry-2" at another port is rejected until its lease has ended
    And another incarnation of "entry-1" at the same port takes over, and the earlier one is rejected

  Scenario: An entry is removed only when it holds no lease
    Then "entry-2" cannot be removed before its lease has ended, and gets none while it is removed

  Scenario: No entry with a lease uses a revision older than one that was reported in force
    Then 300 random histories of 120 steps with failovers, restarts and delayed renewals satisfy this, with seed 11

  Scenario: A leader that lost its lease grants no leases and reports nothing in force
    Given a leader on a replica whose leader lease can end
    When its leader lease ends
    Then renewals get the result "notLeader", no status is reported, and no session ends
    And a leader lease that ends while an entry is registered gives the entry no session lease
