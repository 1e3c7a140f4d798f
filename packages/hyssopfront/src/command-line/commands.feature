Feature: Commands for a running system

  Scenario: Every command has help with an example
    Then the help of each command describes it and shows an example

  Scenario Outline: Each command prints its result as a table or as JSON
    Given a running development system
    When "<command>" is run with both output formats
    Then the table contains "<table>" and the JSON has the member "<member>"

    Examples:
      | command                                                                                                                        | table          | member       |
      | get services -s CONTROL                                                                                                        | stoc           | items        |
      | get service stoc -s CONTROL                                                                                                    | NAME           | spec         |
      | describe service stoc -s CONTROL                                                                                               | AppliedByAll   | status       |
      | apply -f docs/examples/resources.toml -s CONTROL                                                                               | comenzi        | resources    |
      | drain two backend-server/stoc/stoc-1-2 -s CONTROL                                                                              | yes            | spec         |
      | shift evening --service stoc --from zone/sibiu-1 --to zone/sibiu-2 --percent 30 --requests-per-second 9 --bytes-per-second 9 -s CONTROL | evening | spec      |
      | lookup stoc --address 10.2.0.9 -e ENTRY                                                                                        | entry-2        | entries      |
      | lookup stoc --zone sibiu-1 -e ENTRY                                                                                            | entry-1        | timeToLiveSeconds |
      | status -s CONTROL                                                                                                              | control-1      | groups       |
      | histograms -a ADMIN                                                                                                            | lookUp         | histograms   |

  Scenario: A deletion prints its result in both formats
    Given a running development system
    When "drain gone backend-server/stoc/stoc-1-1 -s CONTROL" is run
    And "delete drain gone -s CONTROL" is run
    Then the exit code is 0 and the output contains "deleted"
    When "drain gone backend-server/stoc/stoc-1-1 -s CONTROL" is run
    And "delete drain gone -s CONTROL -o json" is run
    Then the exit code is 0 and the output contains "result"

  Scenario Outline: A failure has the documented exit code and prints the reason in one line
    Given a running development system
    When "<command>" is run
    Then the exit code is <code> and the error output contains "<reason>"

    Examples:
      | command                                             | code | reason                                |
      | get                                                 | 1    | Not enough positional arguments       |
      | get machines -s CONTROL                             | 1    | Use one of regions                    |
      | drain x sibiu-1 -s CONTROL                          | 1    | Write region/NAME or zone/NAME        |
      | drain x zone/sibiu-1 --pace-seconds soon -s CONTROL | 1    | "soon" is not a number                |
      | apply -f nothing.toml -s CONTROL                    | 1    | no such file                          |
      | status -s CONTROL --token-file nothing              | 1    | no such file                          |
      | get service nothing -s CONTROL                      | 2    | There is no Service nothing           |
      | drain x zone/nowhere -s CONTROL                     | 2    | AvailabilityZone nowhere does not exist |
      | delete availability-zone sibiu-1 -s CONTROL         | 2    | services/stoc refers to               |
      | watch --from-revision soon -s CONTROL               | 2    | must be a revision                    |
      | lookup nothing -e ENTRY                             | 2    | not declared                          |

  Scenario: A command with an unknown output format changes nothing
    Given a running development system
    When "drain unprinted zone/sibiu-1 -s CONTROL -o xml" is run
    Then the exit code is 1 and the error output contains "Use json or table"
    When "get drain unprinted -s CONTROL" is run
    Then the exit code is 2 and the error output contains "There is no Drain unprinted"

  Scenario: A change that another operator overtakes is reported as a conflict with the current revision
    Given a running development system
    When a drain "raced" is applied but another operator applies it first
    Then the exit code is 3 and the error output contains "The Drain raced has revision"

  Scenario: A change that an entry delays is reported as not in force, with the name of the entry
    Given a running development system
    And an entry "entry-9" in a separate process that is suspended
    When a drain "held" is applied with "--wait-seconds 0.5"
    Then the exit code is 5 and the error output contains "Entry entry-9 has applied revision"

  Scenario: A watch without a revision prints only changes made after its start
    Given a running development system
    When a watch is started without a revision and a drain "watched" is applied
    Then the watch prints the change of "watched" and no earlier change

  Scenario: A command whose servers do not respond fails after 15 s
    When the command whose servers do not respond has exited
    Then the exit code is 4 and the error output contains "No server answered within 15 s"
