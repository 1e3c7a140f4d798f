Feature: Loss of disks and power at the same moment

  # Guards against acknowledged changes that only wiped disks and unsynced writes held.
  Scenario: Two disks are wiped while all other replicas lose power
    Then in 20 groups of 5 replicas, seed 1 and later, no change acknowledged before is lost and the group serves again

  # Guards against restarted replicas that acknowledge what a killed process had written, but not synced.
  Scenario: Two disks are wiped while all other replicas lose power after the followers were killed during proposals
    Then in 20 such groups whose followers were killed, seed 1 and later, no acknowledged change is lost either
