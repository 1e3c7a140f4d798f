Feature: Queue of changed items

  # Guards against calls and heartbeats that wait while a change of thousands of items is passed on.
  Scenario: Other tasks run while many values are handled
    Given a queue whose values take 1 ms each
    When 1000 values are added, and then 10 more
    And the queue is waited for
    Then 1010 values are handled in order
    And other tasks have run at least 200 times meanwhile

  # Guards against entries that trust a control instance which has not passed on all items yet.
  Scenario: A control instance is complete once it has passed on what its catalog has
    Given a catalog that has caught up, with an item that is not passed on yet
    Then the feed is not complete
    When the item is passed on
    Then the feed is complete
