Feature: Entries of a large availability zone read the configuration from relays

  Scenario: The entries of a small availability zone read from control instances
    Given 4 entries in the availability zone "sibiu-1"
    Then each entry reads from "control-1, control-2"

  Scenario: The entries of a large availability zone read from two relays and fall back to control instances
    Given 9 entries in the availability zone "sibiu-1"
    Then "entry-1" reads from "control-1, control-2"
    And "entry-2" reads from "control-1, control-2"
    And "entry-3" reads from "entry-1, entry-2, control-1, control-2"
    And "entry-4" reads from "entry-2, entry-1, control-1, control-2"

  Scenario: A relay that leaves is replaced
    Given 9 entries in the availability zone "sibiu-1"
    When "entry-1" leaves
    Then "entry-3" reads from "control-1, control-2"
    And "entry-4" reads from "entry-2, entry-3, control-1, control-2"
