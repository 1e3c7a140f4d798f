Feature: Changes at an instance whose disk is full

  # Guards against changes that wait for the disk of the instance that has received them, although others would take them.
  Scenario Outline: An instance whose disk is full passes changes on to the leader
    Given the disk of the <role> in a group of 5 instances is full
    Then a change at it is acknowledged within 1000 ms once another instance leads

    Examples:
      | role     |
      | leader   |
      | follower |
