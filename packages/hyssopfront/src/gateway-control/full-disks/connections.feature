Feature: Connections of an instance whose disk is full

  # Guards against an instance that drops the connections to all but the seeds while its disk is full, so that drains and
  # heartbeats at it reach too few others.
  Scenario: An instance keeps its connections while its disk is full
    Given the disk of a restarted follower in a group of 5 instances with 3 seeds is full for 1000 ms
    Then it stayed connected to all 4 others
