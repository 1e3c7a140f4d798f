Feature: Deadlines of calls while disks are stalled

  # Guards against calls that stay unanswered because the disks of a majority are stalled.
  Scenario: A change that cannot be committed fails at its deadline
    Given the disks of 2 followers in a group of 3 instances are stalled
    When a change with a deadline of 500 ms is submitted at the leader
    Then it fails after at most 700 ms
