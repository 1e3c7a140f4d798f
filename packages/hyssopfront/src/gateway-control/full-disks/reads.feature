Feature: Items of an instance whose disk is full

  # Guards against lookups that ignore the home regions of routes, and backend servers without a slow start, while the
  # disk of an instance is full or its log is read again.
  Scenario: An instance keeps its items while its disk is full
    Given a group of 3 instances in which an item was changed 40 times and a zone was evacuated and taken back
    When the disk of a follower is full for 1000 ms
    Then it never had an older version of the item

  # Guards against older versions in the feed, such as an evacuation that has ended, and against thousands of log lines.
  Scenario: Items that an instance knows are not announced again when its storage is opened again
    Given a group of 3 instances in which an item was changed 40 times and a zone was evacuated and taken back
    When the disk of a follower is full for 1000 ms
    Then it announced no version that is older than one that it had announced
    And it announces the next change
