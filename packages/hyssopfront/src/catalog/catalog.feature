Feature: Versions of catalog items

  Background:
    Given a catalog with service stoc at version 3

  # Guards against a change that goes back when an older one is delivered again.
  Scenario: The highest version of an item stays
    When route orders at version 9 leads to stoc with a timeout of 900 ms
    And route orders at version 7 leads to stoc with a timeout of 700 ms
    Then route orders has a timeout of 900 ms

  # Guards against two operators who use the same version: the second content must not replace the first.
  Scenario: Other content under the version held changes nothing and is not refused
    When route orders at version 9 leads to stoc with a timeout of 900 ms
    And route orders at version 9 leads to stoc with a timeout of 100 ms
    Then the change was accepted
    And route orders has a timeout of 900 ms

  # Guards against a dropped route that an older change brings back.
  Scenario: A dropped item stays dropped
    When route orders at version 9 leads to stoc with a timeout of 900 ms
    And route orders is dropped at version 12
    And route orders at version 11 leads to stoc with a timeout of 700 ms
    Then there is no route orders

  # Guards against a part of an invalid change that comes into force.
  Scenario: A change that names an unknown service is refused whole
    When one change sets route orders to stoc and route stray to nowhere, both at version 9
    Then the change was refused
    And there is no route orders

  # Guards against the refusal of a resent change whose service was dropped meanwhile.
  Scenario: A change that was accepted is accepted again
    When route orders at version 9 leads to stoc with a timeout of 900 ms
    And service stoc is dropped at version 20
    And route orders at version 9 leads to stoc with a timeout of 900 ms
    Then the change was accepted

  # Guards against state that is lost when a snapshot replaces the log, drops and evacuations included.
  Scenario: A snapshot holds everything
    When route orders is dropped at version 12
    And availability zone iasi-a is evacuated
    And the catalog is restored from its snapshot
    And route orders at version 11 leads to stoc with a timeout of 700 ms
    Then there is no route orders
    And availability zone iasi-a is evacuated in the catalog
