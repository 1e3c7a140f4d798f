Feature: Clocks

  Scenario: A manual clock wakes sleepers in the order of their due time
    Given a manual clock
    And sleepers of 30, 10 and 20 milliseconds
    When the clock advances by 25 milliseconds
    Then the sleepers of 10 and 20 milliseconds woke in this order

  Scenario: An aborted wait is rejected with the abort reason
    Given a manual clock
    When a wait of 1000 milliseconds is aborted
    Then the wait is rejected with the abort reason

  Scenario: Many deadlines share a sleep and expire on time
    Guards against a later deadline that delays an earlier one.
    Given a manual clock
    When deadlines of 300, 100 and 200 milliseconds are added and the one of 200 is cancelled
    Then the deadline of 100 expires at 100 and the one of 300 at 300 milliseconds
    And a stopped timer expires no deadline
