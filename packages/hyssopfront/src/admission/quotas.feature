Feature: Portions of shared limits

  Scenario: No second carries more than a cap, and no slot is used twice, whatever fails
    When random schedules of faults run
    Then no schedule exceeded a limit, and most of them carried traffic

  Scenario: The check of the schedules notices entries that each use the whole cap
    When a schedule without faults runs with whole caps
    Then the schedule exceeded a limit

  Scenario: One entry can use nine tenths of a cap that no one else needs
    Then the usable share of a cap of 1000 is at least 0.90 when all traffic arrives at one of 7 entries

  Scenario: Entries with equal traffic can use nearly the whole cap
    Then the usable share of a cap of 1000 is at least 0.97 when traffic is spread over 7 entries

  Scenario: A portion follows its traffic instead of staying at an idle entry
    Then a portion of 1000 moves to another of 7 entries within 2000 milliseconds
