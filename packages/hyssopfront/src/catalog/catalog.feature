Feature: Versions of catalog items

  Background:
    Given a catalog with service stoc at version 3

  # Guards against a change that is reverted when an older one is delivered again.
  Scenario: The highest version of an item is kept
    When route orders at version 9 routes to stoc with a timeout of 900 ms
    And route orders at version 7 routes to stoc with a timeout of 700 ms
    Then route orders has a timeout of 900 ms

  # Guards against two operators who use the same version: the second content must not replace the first.
  Scenario: Different content with the current version has no effect and is not rejected
    When route orders at version 9 routes to stoc with a timeout of 900 ms
    And route orders at version 9 routes to stoc with a timeout of 100 ms
    Then the change was accepted
    And route orders has a timeout of 900 ms

  # Guards against a deleted route that an older change restores.
  Scenario: A deleted item stays deleted
    When route orders at version 9 routes to stoc with a timeout of 900 ms
    And route orders is deleted at version 12
    And route orders at version 11 routes to stoc with a timeout of 700 ms
    Then there is no route orders

  # Guards against an invalid change that is partially applied.
  Scenario: A change that names an unknown service is rejected as a whole
    When one change sets route orders to stoc and route stray to nowhere, both at version 9
    Then the change was rejected
    And there is no route orders

  # Guards against the rejection of a resent change whose service has been deleted in the meantime.
  Scenario: A change that was accepted is accepted again
    When route orders at version 9 routes to stoc with a timeout of 900 ms
    And service stoc is deleted at version 20
    And route orders at version 9 routes to stoc with a timeout of 900 ms
    Then the change was accepted

  # Guards against deletions and evacuations that are lost when a snapshot replaces the log.
  Scenario: A snapshot contains the complete state
    When route orders is deleted at version 12
    And availability zone iasi-a is evacuated
    And the catalog is restored from its snapshot
    And route orders at version 11 routes to stoc with a timeout of 700 ms
    Then there is no route orders
    And availability zone iasi-a is evacuated in the catalog

  # Guards against a departed backend server that is used again because its departure was lost with a snapshot.
  Scenario: A snapshot contains the latest departure of each backend server
    When stoc-1, started at 1000, departs
    And stoc-1, started at 5000, departs
    And stoc-1, started at 1000, departs
    And the catalog is restored from its snapshot
    Then the restored departures are stoc-1, started at 5000

  # Guards against a state that grows with each backend server that has ever departed.
  Scenario: The latest 1000 departures are kept
    When stoc-1, started at 1000, departs
    And 1000 other backend servers depart
    Then 1000 departures are kept, and that of stoc-1 is not among them

  Scenario: A snapshot of an earlier release is restored
    When route orders at version 9 routes to stoc with a timeout of 900 ms
    And the catalog is restored from a snapshot of an earlier release
    Then route orders has a timeout of 900 ms

  # Guards against items that cannot be read back after an upgrade: earlier releases stored their source decoded.
  Scenario: Items of an earlier release keep their source
    When a command of an earlier release sets route orders with the source {"a":[1]}
    Then the source of route orders is {"a":[1]}
    When the catalog is restored from a snapshot with such a route
    Then the source of route orders is {"a":[1]}

  # Guards against a change that is in force in part: a long change takes several commands.
  Scenario: A change in parts takes effect once all parts are there, in any order
    Given a catalog with service s1 at version 1
    When part 2 of 3 of change c1 routes r2 to s1
    And part 0 of 3 of change c1 routes r0 to s1
    And part 0 of 3 of change c1 routes r0 to s1
    Then the change is incomplete
    And there is no route r0
    When the catalog is restored from its snapshot
    And part 1 of 3 of change c1 routes r1 to s1
    Then the change was accepted
    And routes "r0, r1, r2" exist

  Scenario: A change in parts with an unknown service is rejected as a whole
    Given a catalog with service s1 at version 1
    When part 0 of 2 of change c1 routes r0 to s1
    And part 1 of 2 of change c1 routes r1 to s2
    Then the change was rejected
    And routes "" exist

  # Guards against parts of changes that were given up and are kept for ever.
  Scenario: A change that was given up is dropped after eight others
    Given a catalog with service s1 at version 1
    When part 0 of 2 of change c1 routes r0 to s1
    And part 0 of 2 of 8 other changes follow
    And part 1 of 2 of change c1 routes r1 to s1
    Then the change is incomplete
    And routes "" exist
