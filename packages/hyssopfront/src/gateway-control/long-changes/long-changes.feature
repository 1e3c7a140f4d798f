Feature: Changes of many items

  # Guards against a valid change that is never acknowledged, because it exceeds the size of a command of the log.
  Scenario Outline: A change of <count> routes with weights and regions is acknowledged and read
    Given 5 control instances
    When an operator changes <count> routes with two weighted services and two regions each
    Then it is acknowledged within 5 s and 3 ms for each route
    And all instances hold the <count> routes

    Examples:
      | count |
      | 1732  |
      | 10000 |

  Scenario: An instance with an empty disk gets a change of many routes in a snapshot
    Given 5 control instances
    When an operator changes 1732 routes with two weighted services and two regions each
    And a follower loses its disk
    Then all instances hold the 1732 routes

  # Guards against a change that starts again and again, as it takes longer than one call.
  Scenario: A change that is sent again continues with the parts that are missing
    Given a catalog of which each call times out after 3 commands
    When an operator changes 1732 routes with two weighted services and two regions each
    Then it is acknowledged in less than 10 calls
    And each command takes at most 131072 bytes and 1 KiB

  Scenario: Two instances that submit the same change complete it
    Given a catalog
    When two operators change the same 1732 routes at the same time
    Then both are acknowledged

  # Guards against an operator who sends a change again and again that can never be stored.
  Scenario: A change with an item that cannot be stored is rejected
    Given a catalog
    When an operator sets a route with 600000 bytes
    Then it is rejected with "The route large takes \d+ bytes. At most 524288 are accepted."
    And nothing was submitted
