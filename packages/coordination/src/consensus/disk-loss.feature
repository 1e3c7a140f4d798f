Feature: Loss of disks and power at the same moment

  # Guards against acknowledged changes that only wiped disks and unsynced writes held.
  Scenario: Two disks are wiped while all other replicas lose power
    Then in 20 groups of 5 replicas, seed 1 and later, no change acknowledged before is lost and the group serves again

  # Guards against restarted replicas that acknowledge what a killed process had written, but not synced.
  Scenario: Two disks are wiped while all other replicas lose power after the followers were killed during proposals
    Then in 20 such groups whose followers were killed, seed 1 and later, no acknowledged change is lost either

  # Guards against a new group, without the acknowledged changes, of the replicas that did not hold them.
  Scenario: Two of the first three replicas lose their disks before the third one holds the first entry
    Then in 20 groups of 3 replicas, seed 1 and later, no replica becomes leader without the acknowledged changes for 4 s

  # Guards against a group that never has a leader, because each of the first voters must vote for the first one.
  Scenario Outline: Replicas lose their disks before the first election
    Then in 20 groups of 3 replicas, seed 1 and later, of which <count> lost their disks at the start, changes are acknowledged within 8 s

    Examples:
      | count |
      | 1     |
      | 2     |

  # Guards against a change that waits for a disk that hangs, or counts it among those that hold the change.
  Scenario Outline: Two disks are wiped while all other replicas lose power and the disk of the <role> hangs
    Then in 20 groups of 5 replicas, seed 1 and later, whose <role> has a disk that hangs, no acknowledged change is lost

    Examples:
      | role     |
      | leader   |
      | follower |
