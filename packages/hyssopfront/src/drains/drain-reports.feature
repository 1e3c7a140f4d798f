Feature: Summary of the entries' drain reports

  Background:
    Given entries "entry-1" and "entry-2" and a drain "repair" of the availability zone "sibiu-2"

  Scenario: The target is not drained while an entry has not reported
    When "entry-1" reports the drain complete with 0 requests in flight
    Then the target is not drained because of "NotReported" and the message names "entry-2"

  Scenario: The target is not drained while load remains on one entry
    When "entry-1" reports the drain complete with 0 requests in flight
    And "entry-2" reports that 40 percent of the load has moved
    Then the target is not drained because of "Running" and the message names "entry-2"
    And the message contains "40%"

  Scenario: The target is not drained while requests are in flight
    When "entry-1" reports the drain complete with 0 requests in flight
    And "entry-2" reports the drain complete with 3 requests in flight
    Then the target is not drained because of "RequestsInFlight" and the message names "entry-2"

  Scenario: A rejected drain reports the reason
    When "entry-1" reports the drain complete with 0 requests in flight
    And "entry-2" reports the drain rejected because of "no free slots elsewhere"
    Then the target is not drained because of "Refused" and the message names "entry-2"
    And the message contains "no free slots elsewhere"

  Scenario: The target is drained when the drain is complete on all entries without requests in flight
    When "entry-1" reports the drain complete with 0 requests in flight
    And "entry-2" reports the drain complete with 0 requests in flight
    Then the target is drained

  Scenario: A new leader discards the reports to earlier leaders
    When "entry-1" reports the drain complete with 0 requests in flight
    And "entry-2" reports the drain complete with 0 requests in flight
    And a new leadership starts
    Then the target is not drained because of "NotReported" and the message names "entry-1"
