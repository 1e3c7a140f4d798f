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
