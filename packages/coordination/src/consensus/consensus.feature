Feature: Replicated log

  Scenario: A leader that is isolated for a long time rejects requests and does not regain leadership
    Given a group of 5 replicas with seed 11
    And 20 proposals are acknowledged
    When the leader is isolated
    Then it reports no lease and rejects proposals and reads after 500 ms
    And another replica becomes leader within 3000 ms
    And 20 proposals are acknowledged
    When 3600000 ms have passed for the isolated replica
    And all faults are healed
    Then all replicas converge within 3000 ms and no acknowledged proposal is lost
    And the replica elected meanwhile is still the leader

  Scenario: A suspended leader does not rely on its expired lease after it resumes
    Given a group of 3 replicas with seed 12
    And 5 proposals are acknowledged
    When the leader is suspended
    Then another replica becomes leader within 3000 ms
    And the suspended leader resumes and rejects a proposal and a read at once

  Scenario: A leader that receives no messages steps down although the others still receive its messages
    Given a group of 3 replicas with seed 13
    And 5 proposals are acknowledged
    When the leader can send messages but not receive them
    Then it reports no lease and rejects proposals and reads after 500 ms
    And another replica becomes leader within 4000 ms
    When all faults are healed
    Then all replicas converge within 3000 ms and no acknowledged proposal is lost

  Scenario: A follower without contact with the leader does not disrupt it
    Given a group of 3 replicas with seed 26
    And 5 proposals are acknowledged
    When a follower no longer receives messages from the leader
    Then the leader keeps its lease and its term for 10000 ms

  # Guards against calls to an unreachable leader, which last until their deadline.
  Scenario: A follower without contact with the leader no longer reports it
    Given a group of 3 replicas with seed 30
    And 5 proposals are acknowledged
    When a follower no longer receives messages from the leader
    Then the follower knows no leader after 1200 ms and rejects a read at once
    When all faults are healed
    Then the follower knows the leader again within 200 ms

  # Guards against vote requests that time out before the replies can arrive, so that no leader is ever elected.
  Scenario: A leader is elected although a round trip takes 400 ms
    Given a group of 5 replicas with seed 31
    And 5 proposals are acknowledged
    When messages take 190 to 200 ms and the leader crashes
    Then another replica becomes leader within 5000 ms

  Scenario: Replicas that campaign at the same time do not split the votes
    Then in 40 groups of 3 replicas another replica becomes leader within 2000 ms after the leader is isolated

  Scenario: A second replica crashes right after the first one has restarted
    Given a group of 5 replicas with seed 14
    And 20 proposals are acknowledged
    When the leader crashes
    And another replica becomes leader within 3000 ms
    And 20 proposals are acknowledged
    And the crashed replica restarts
    And the leader crashes at once
    And another replica becomes leader within 3000 ms
    And 20 proposals are acknowledged
    When all faults are healed
    Then all replicas converge within 3000 ms and no acknowledged proposal is lost

  Scenario: A voter whose disk was wiped does not count towards the quorum until it is a voter again
    Given a group of 3 replicas with seed 15 that does not restore wiped voters
    And 20 proposals are acknowledged
    When the disk of a follower is wiped and it restarts
    And the other follower crashes
    Then a proposal is not acknowledged although the wiped replica has its entry
    When the crashed replica restarts
    And another replica becomes leader within 5000 ms
    And the wiped replica is added as a learner and promoted
    And the other follower crashes
    Then 20 proposals are acknowledged
    When all faults are healed
    Then all replicas converge within 3000 ms and no acknowledged proposal is lost

  Scenario: The leader restores a voter whose disk was wiped
    Given a group of 5 replicas with seed 16
    And 20 proposals are acknowledged
    When the disk of a follower is wiped and it restarts
    Then it is a voter with its new store within 10000 ms
    And all replicas converge within 3000 ms and no acknowledged proposal is lost

  # Guards against wiped voters that do not count for so long that the next loss, although tolerated, leaves no majority.
  Scenario: A voter whose disk was wiped is restored within 4 s although the leader crashes meanwhile
    Given a group of 5 replicas with seed 34
    And 20 proposals are acknowledged
    When the disk of a follower is wiped and it restarts
    And the leader crashes 1500 ms later
    Then it is a voter with its new store within 2500 ms

  # Guards against changes that are acknowledged on two disks only, so that the loss of two more disks loses them.
  Scenario: Two voters whose disks were wiped are restored one after the other
    Given a group of 5 replicas with seed 35
    And 20 proposals are acknowledged
    When the disks of two followers are wiped and they restart
    Then they are voters with their new stores within 4000 ms, and there are never fewer than 4 voters

  # Guards against a lost message after which the second voter is replaced before the first one has returned.
  Scenario Outline: Two voters whose disks were wiped are restored one after the other while messages are lost
    Given a group of 5 replicas with seed <seed>
    And 20 proposals are acknowledged
    When <percent> percent of the messages are lost
    And the disks of two followers are wiped and they restart
    Then they are voters with their new stores within 8000 ms, and there are never fewer than 4 voters

    Examples:
      | seed | percent |
      | 35 | 5 |
      | 37 | 5 |
      | 38 | 5 |
      | 39 | 5 |
      | 40 | 5 |
      | 41 | 5 |
      | 35 | 10 |
      | 37 | 10 |
      | 38 | 10 |
      | 39 | 10 |
      | 40 | 10 |
      | 41 | 10 |
      | 35 | 20 |
      | 37 | 20 |
      | 38 | 20 |
      | 39 | 20 |
      | 40 | 20 |
      | 41 | 20 |

  # Guards against a returning voter whose disk hangs and which keeps all other voters from being restored.
  Scenario: A voter whose disk was wiped is restored although the disk of another one hangs
    Given a group of 5 replicas with seed 35
    And 20 proposals are acknowledged
    When the disks of two followers are wiped and they restart
    And the disk of the first learner hangs
    Then the other one is a voter with its new store within 4000 ms

  # Guards against a replica that stays a learner for good, and keeps other voters from being restored.
  Scenario: A voter whose disk is wiped again before it is a voter again is restored
    Given a group of 5 replicas with seed 36
    And 20 proposals are acknowledged
    When the disk of a follower is wiped and it restarts
    And its disk is wiped once more as soon as it is a learner
    Then it is a voter with its new store within 4000 ms

  Scenario: Voters whose disks were wiped cannot form a new group
    Given a group of 3 replicas with seed 17
    And 5 proposals are acknowledged
    When the disks of both followers are wiped and they restart while the leader is isolated
    Then no replica becomes leader for 20000 ms

  Scenario: The leader crashes during a membership change
    Given a group of 5 replicas with seed 18
    And 20 proposals are acknowledged
    When a new replica is being added as a learner while the leader crashes
    And another replica becomes leader within 3000 ms
    And 20 proposals are acknowledged
    When all faults are healed
    Then all replicas converge within 3000 ms and no acknowledged proposal is lost
    And all replicas have the same membership, with or without the new replica

  Scenario: An uncommitted membership change is reverted on the leader that made it
    Given a group of 5 replicas with seed 29
    And 20 proposals are acknowledged
    When a new replica is being added as a learner while the leader is isolated
    And another replica becomes leader within 3000 ms
    And 20 proposals are acknowledged
    When all faults are healed
    Then the old leader has 5 members again within 3000 ms

  Scenario: A leader that removes itself fails before the removal is committed
    Given a group of 2 replicas with seed 25
    And 5 proposals are acknowledged
    When the leader is isolated while it removes itself and all replicas restart
    Then the removal is committed within 10000 ms, another replica is leader and no acknowledged proposal is lost

  Scenario: A learner is promoted only once it has caught up, and a removed voter no longer counts towards the quorum
    Given a group of 3 replicas with seed 19
    And 200 proposals are acknowledged
    When a new replica that is isolated is added as a learner
    Then its promotion is rejected
    When all faults are healed
    Then its promotion succeeds within 3000 ms
    And a crashed voter can be removed, after which two of three voters form a quorum

  # Guards against a voter that holds nothing of what was acknowledged: the logs of most groups are short.
  Scenario: A learner that has stored nothing is not promoted however short the log is
    Given a group of 3 replicas with seed 31
    And 5 proposals are acknowledged
    When a new replica is added as a learner whose disk hangs once it has stored the term
    Then its promotion is rejected
    When its disk no longer hangs
    Then its promotion succeeds within 3000 ms

  Scenario: A membership change that would leave no responding majority is rejected
    Given a group of 3 replicas with seed 28
    And 5 proposals are acknowledged
    When a follower crashes
    Then the removal of the other follower is rejected and further proposals are acknowledged

  Scenario: All replicas restart at once
    Given a group of 5 replicas with seed 20
    And 50 proposals are acknowledged
    When all replicas crash and restart
    Then another replica becomes leader within 5000 ms
    And all replicas converge within 3000 ms and no acknowledged proposal is lost

  Scenario: A replica that lacks compacted entries receives a snapshot in chunks
    Given a group of 3 replicas with seed 21 that compacts every 50 entries and sends chunks of 100 bytes
    And 10 proposals are acknowledged
    When a follower crashes
    And 300 proposals are acknowledged
    And the crashed replica restarts on a network that loses 10 percent of the messages
    Then all replicas converge within 30000 ms and no acknowledged proposal is lost
    And each log has at most 110 entries

  Scenario: A healthy leader transfers leadership to the preferred replica
    Given a group of 3 replicas with seed 22 in which replica "c" is preferred
    When replica "c" becomes leader within 20000 ms
    And replica "c" crashes and restarts once another replica is leader within 3000 ms
    Then replica "c" becomes leader within 20000 ms
    And no acknowledged proposal is lost when leadership is transferred during proposals

  Scenario: A leader that transfers leadership has revoked its lease even if it is isolated afterwards
    Given a group of 3 replicas with seed 27
    And 5 proposals are acknowledged
    When the leader transfers leadership and is isolated as soon as the target campaigns
    Then another replica becomes leader within 400 ms

  Scenario: A replica whose disk fails stops and reports the error
    Given a group of 3 replicas with seed 23
    And 5 proposals are acknowledged
    When the disk of the leader is full
    Then the leader stops with the storage error
    And another replica becomes leader within 3000 ms

  Scenario: The number of pending proposals is bounded
    Given a group of 3 replicas with seed 24 that allows at most 10 pending proposals
    When 25 proposals are made at once
    Then 15 are rejected without being appended and the others are acknowledged
    And a proposal over the payload limit is rejected without being appended

  Scenario: Random faults
    Then 12 random fault schedules with seed 20261204 preserve all guarantees
