Feature: Full disks of control instances

  # Guards against an instance that takes no part in the group after its disk has room again.
  Scenario Outline: Each file operation fails in turn on the disk of the <role>
    Then for each file operation that fails for 1000 ms on the disk of the <role>, while an item is changed:
      | changes are acknowledged within 4 s once the disk has room |
      | all instances read them and have them in their files       |
      | the instance counts for a majority                         |

    Examples:
      | role     |
      | leader   |
      | follower |

  # Guards against an instance that never starts, and a group that never forms, after a full disk at the first start.
  Scenario: Each file operation fails in turn at the first start of a seed
    Then for each file operation that fails for 1000 ms at the first start of a seed, the group forms with it

  # Guards against a replaced instance that leaves the group with fewer voters, as the disk of the new one was full.
  Scenario: Each file operation fails in turn on the disk of an instance that replaces another
    Then for each file operation that fails for 1000 ms at the start of a replacement, it becomes a voter

  # Guards against a group that acknowledges no changes after each of its disks was full once.
  Scenario: The disks are full one after another
    Given 5 instances
    When the disks are full for 700 ms one after another in 3 rounds, and then 5 times that of the leader
    Then changes were acknowledged in at most 4 s
    And all instances have them in their files

  # Guards against a change that waits for several elections, as the disk of each new leader is full at once.
  Scenario: The disk of each leader is full as soon as it is elected
    Given 5 instances
    When the disk of the leader is full for 700 ms 5 times, each time right after an election
    Then changes were acknowledged in at most 4 s
    And all instances have them in their files
