Feature: Loss of disks while a group is formed or an instance is replaced

  # Guards against changes that fewer disks hold than may be lost, and a group without a majority after the loss.
  Scenario: Two disks are lost right after the first change is acknowledged
    Given 5 instances that start for the first time
    When the first change is acknowledged
    And the leader and the voter with the most entries lose their disks while all instances are killed
    Then the change is read and further ones are acknowledged

  # Guards against a group that waits for instances that do not exist.
  Scenario: A group with fewer instances than its target acknowledges changes
    Given 3 instances of a group for 5 that start for the first time
    When the first change is acknowledged
    Then changes were acknowledged within 4 s of the first election
    And changes were acknowledged within 4 s after another leader was elected

  # Guards against a group that waits for an instance that never becomes a voter.
  Scenario: A group whose fifth instance has a disk that hangs acknowledges changes
    Given 4 instances that start for the first time, and a fifth one whose disk hangs
    When the first change is acknowledged
    Then it was acknowledged within 6 s of the first election

  # Guards against a replaced voter that counts for so long that two further losses leave no majority.
  Scenario Outline: Two disks are lost 4 s after the start of an instance that replaces a silent <role>
    Given 5 instances that start for the first time
    And all of them are voters
    When a <role> falls silent for good and an instance with an empty disk is added
    And 4000 ms later the leader and the voter with the most entries lose their disks while all instances are killed
    Then the change is read and further ones are acknowledged

    Examples:
      | role     |
      | leader   |
      | follower |

  Scenario: Two disks are lost 4 s after the start of the second of two instances that replace silent ones
    Given 5 instances that start for the first time
    And all of them are voters
    When a follower falls silent for good and an instance with an empty disk is added
    And 4000 ms pass
    And a leader falls silent for good and an instance with an empty disk is added
    And 4000 ms later the leader and the voter with the most entries lose their disks while all instances are killed
    Then the change is read and further ones are acknowledged

  # Guards against an instance that was stopped as planned, but still counts when its successor should.
  Scenario Outline: Two disks are lost 4 s after the start of an instance that replaces a stopped <role>
    Given 5 instances that start for the first time
    And all of them are voters
    When an instance with an empty disk is added and a <role> is stopped 3000 ms later
    And 1000 ms later the leader and the voter with the most entries lose their disks while all instances are killed
    Then the change is read and further ones are acknowledged

    Examples:
      | role     |
      | leader   |
      | follower |

  # Guards against a replacement that a cut of the group prevents for good, so that the stopped voter still counts.
  Scenario Outline: Two disks are lost 4 s after the end of a cut in which an instance replaces a stopped <role>
    Given 5 instances that start for the first time
    And all of them are voters
    When an instance with an empty disk is added, and a <role> is stopped while <cut> are cut off for 3000 ms
    And 4000 ms later the leader and the voter with the most entries lose their disks while all instances are killed
    Then the change is read and further ones are acknowledged

    Examples:
      | role     | cut                            |
      | leader   | two voters                     |
      | follower | two voters                     |
      | leader   | a voter and the added instance |
      | follower | a voter and the added instance |
