Feature: Control instances of the gateway

  # Guards against a split into two control groups, and against learners that are never promoted to voters.
  Scenario: Instances with three seeds form one group
    Given 5 control instances that start for the first time, 3 of them seeds
    Then all instances have the same 5 voters
    When a route is changed at instance 4
    Then each running instance reads the route

  # Guards against the loss of an acknowledged change when two disks are lost.
  Scenario: Two instances lose their disks after a change
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a route is changed at instance 1
    And all instances are killed and instances 1 and 2 lose their disks
    And all instances start again
    Then each running instance reads the route
    And all instances have the same 5 voters

  # Guards against a permanently lost instance that remains a voter, so that a further loss leaves no majority.
  Scenario: An instance is replaced by an empty instance at another address
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a route is changed at instance 1
    And instance 2 is permanently killed and instance 6 starts with an empty disk
    Then instance 6 is a voter and instance 2 is not
    And each running instance reads the route

  # Guards against an acknowledged drain that is lost with the instance that received it.
  Scenario: A drain is acknowledged only when a majority holds it
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a backend server announces at instance 1 that it drains
    Then it is acknowledged
    When instances 2, 3 and 4 are killed
    And a backend server announces at instance 1 that it drains
    Then it is not acknowledged

  # Guards against a drain or departure that is acknowledged by a new instance alone, while the others do not know of it.
  Scenario: A new instance that has not joined the group acknowledges neither drains nor departures
    Given a control instance 6 that starts with an empty disk and reaches no seed
    When a backend server announces at instance 6 that it drains
    Then it is not acknowledged
    When the backend server leaves at instance 6
    Then it is not acknowledged

  # Guards against a backend server that has left and is used again: a heartbeat that was sent before its departure arrives
  # after all control instances have restarted.
  Scenario: An acknowledged departure outlasts a restart of all instances
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a backend server announces itself at instance 1 with sequence number 3
    And the backend server leaves at instance 1
    Then it is acknowledged
    When all instances are killed and instances 1 and 2 lose their disks
    And all instances start again
    And a backend server announces itself at instance 2 with sequence number 2
    Then each running instance has the backend server as left

  # Guards against marking backend servers as lost while the other side of a partition receives their heartbeats.
  Scenario: Connectivity is incomplete until an unreachable control instance counts as removed
    Given two other control instances, a and b
    When both are connected for 6000 ms
    Then connectivity has been complete for 6000 ms
    When b is unreachable for 8000 ms
    Then connectivity has been complete for 0 ms
    When b stays unreachable for 40000 ms
    Then connectivity has been complete for more than 6000 ms
