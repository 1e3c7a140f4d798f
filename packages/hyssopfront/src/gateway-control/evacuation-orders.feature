Feature: Evacuation orders of operators

  # Guards against an order that its caller has abandoned, is read late by a frozen instance, and undoes a newer order.
  Scenario: An order whose caller has left has no effect
    Given zone iasi-a is evacuated at version 10
    When the caller of an order to end the evacuation leaves before it is submitted
    Then the order fails as its caller has left
    And the zone is evacuated

  # Guards against an order that is delayed between an instance and the leader, and is committed after newer ones.
  Scenario: An order that is overtaken on its way to the leader has no effect
    Given zone iasi-a is evacuated at version 10
    When an order to end the evacuation is on its way to the leader
    And its caller leaves, ends the evacuation at another instance and then evacuates the zone again
    And the order reaches the leader
    Then the order fails as its caller has left
    And the zone is evacuated

  Scenario: An order is submitted again when its instance was behind the leader and its caller waits
    Given zone iasi-a is evacuated at version 10
    And the instance of the order has not applied that evacuation yet
    When an order to end the evacuation is given and the instance catches up
    Then the order succeeds
    And the zone is not evacuated

  Scenario: An order whose state is already in force succeeds
    Given zone iasi-a is evacuated at version 10
    When an order to evacuate the zone is given
    Then the order succeeds
    And the evacuation has version 10
