Feature: Requests from entries to the leader of a run-once group

  Background:
    Given the leader of a group, in which "entry-1" has begun a key

  # Guards against keys of a terminated process that stay in progress although the next process has reported its
  # incarnation.
  Scenario: The keys of an earlier process become unknown when a new process reports its incarnation
    When "entry-2" begins the key
    Then the result of its begin is "inProgress"
    When a new process of "entry-1" reports its incarnation
    And "entry-2" begins the key
    Then the result of its begin is "unknown"

  # Guards against an entry that waits for capacity while another entry could run the request.
  Scenario: An attempt that waits for capacity is notified when another attempt uses its key
    When "entry-1" waits for contention on its key
    And "entry-2" begins another key
    Then "entry-1" has not been notified
    When "entry-2" begins the key
    Then "entry-1" is notified that the key is contended

  # Guards against a wait at a follower, which receives no begins of other attempts.
  Scenario: Only the leader notifies of contention
    When the group has another leader
    Then the wait of "entry-1" for contention fails with "notLeader"

  # Guards against begins that wait for the fsyncs of outcomes, for which no caller waits.
  Scenario: An outcome is proposed together with the next begin
    When "entry-1" reports the outcome "unknown"
    Then the proposed commands are "begin"
    When "entry-2" begins another key
    Then the proposed commands are "begin, begin, finish"

  # Guards against an outcome that is not recorded because no further request arrives.
  Scenario: An outcome is proposed after a short delay when no begin follows
    When "entry-1" reports the outcome "unknown"
    And 20 ms pass at the leader
    Then the proposed commands are "begin, finish"

  # Guards against a not-run response that is delayed because its key is not released yet.
  Scenario: The outcome of a rejected attempt is proposed at once
    When "entry-1" reports the outcome "refused"
    Then the proposed commands are "begin, finish"
