Feature: Control instances of the gateway

  # Guards against two groups that each believe to be the control group, and against voters that stay learners.
  Scenario: Instances that know three seeds form one group
    Given 5 control instances that start for the first time, 3 of them seeds
    Then all instances have the same 5 voters
    When a route is changed at instance 4
    Then each running instance reads the route

  # Guards against a change that was acknowledged and is lost with two disks.
  Scenario: Two instances lose their disks after a change
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a route is changed at instance 1
    And all instances are killed and instances 1 and 2 lose their disks
    And all instances start again
    Then each running instance reads the route
    And all instances have the same 5 voters

  # Guards against a group that counts an instance that is gone for good, until a further loss stops it.
  Scenario: An instance is replaced by an empty one at another address
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a route is changed at instance 1
    And instance 2 is killed for good and instance 6 starts with an empty disk
    Then instance 6 is a voter and instance 2 is none
    And each running instance reads the route

  # Guards against an acknowledgement that binds nobody.
  Scenario: A drain is acknowledged only when a majority knows of it
    Given 5 control instances that start for the first time, 3 of them seeds
    And all instances have the same 5 voters
    When a backend server announces at instance 1 that it drains
    Then it is acknowledged
    When instances 2, 3 and 4 are killed
    And a backend server announces at instance 1 that it drains
    Then it is not acknowledged

  # Guards against backend servers that are given up for silent although the other side of a cut hears them.
  Scenario: Silence says nothing while a control instance is out of reach
    Given control instances one and two as the others
    When both are connected for 6000 ms
    Then contact is complete for 6000 ms
    When two is out of reach for 8000 ms
    Then contact is complete for 0 ms
    When two stays out of reach for 40000 ms
    Then contact is complete for more than 6000 ms
