Feature: Statistics and reports of experiments

    Scenario: Percentiles are measured values by nearest rank
        Given the values 1 to 1000 in random order with seed 7
        Then p50 is 500, p99 is 990, p99.9 is 999 and the maximum is 1000

    Scenario: A percentile without values is undefined instead of zero
        Given no values
        Then every percentile is undefined
        And a figure of them with a goal has the verdict "NOT MEASURED"

    Scenario: The peak over a window includes bursts that cross an interval boundary
        Given 10 amounts at 900 ms and 10 at 1100 ms
        Then the peak over 1000 ms is 20
        And the sums of intervals of 1000 ms are 10 and 10

    Scenario: Amounts exactly one window apart do not count toward the same peak
        Given 10 amounts at 0 ms and 10 at 1000 ms
        Then the peak over 1000 ms is 10

    Scenario Outline: A figure is compared with an upper or lower goal
        Then a value of <value> with a goal <kind> 10 has the verdict "<verdict>"
        Examples:
            | value | kind    | verdict |
            | 10    | atMost  | met     |
            | 10.1  | atMost  | MISSED  |
            | 10    | atLeast | met     |
            | 9.9   | atLeast | MISSED  |

    Scenario: A run in which a process exited unexpectedly fails
        Then a report with dead processes results in exit code 1 and names them
        And a report without dead processes results in exit code 0

    Scenario: The files of a report contain its figures and charts
        When a report with a chart named "a < b & c" is written
        Then the JSON file contains the figures with their verdicts
        And the SVG file escapes the name and has a line for each series
