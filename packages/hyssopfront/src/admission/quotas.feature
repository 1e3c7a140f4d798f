Feature: Quotas of shared limits

  Scenario: No cap is exceeded in any second, and no slot is used twice, whatever fails
    When random schedules of faults run
    Then no schedule exceeded a limit, and most of them carried traffic

  Scenario: The check detects entries that each use the whole cap
    When a schedule without faults runs in which each entry uses the whole cap
    Then the schedule exceeded a limit

  Scenario: One entry can use nine tenths of a cap that no other entry needs
    Then the usable share of a cap of 1000 is at least 0.90 when all traffic arrives at one of 7 entries

  Scenario: Entries with equal traffic can use almost the whole cap
    Then the usable share of a cap of 1000 is at least 0.97 when traffic is spread over 7 entries

  Scenario: A quota moves with the traffic and does not stay at an idle entry
    Then a quota of 1000 moves to another of 7 entries within 2000 milliseconds
