Feature: Experiments

    Scenario: The entry experiment measures every figure
        When the entry experiment runs for 1 s
        Then every figure was measured
        And no request failed and no process exited unexpectedly

    Scenario: The in-force experiment measures changes and the failure of the leader
        When the in-force experiment runs with 2 changes and 1 failure of each kind
        Then every figure was measured
        And no process exited unexpectedly

    Scenario: The run-once experiment measures every combination of regions
        When the run-once experiment runs with 2 requests of each class
        Then every figure was measured
        And there are figures for 18 combinations
        And no process exited unexpectedly

    Scenario: A process that exits unexpectedly is found
        When an entry is killed while an experiment runs
        Then that entry is reported as dead

    Scenario: The nodes experiment measures every figure
        When the nodes experiment runs for 1 s
        Then every figure was measured
        And no process exited unexpectedly
