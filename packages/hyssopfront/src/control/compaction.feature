Feature: Compaction, snapshots and quotas in a running control instance

  Scenario: A watch from a revision before a compaction
    Given 1 control instance that takes a snapshot after every 20 log entries
    When 50 resources are put and the instance restarts
    Then all resources have their revisions
    And a watch from revision 0 gets 410 with the oldest revision, and one from there gets each later change

  Scenario: A replica that lags behind the compacted log catches up from a snapshot
    Given 3 control instances that take a snapshot after every 20 log entries
    And an entry that reads the configuration from instance 3 and has the resource "gone"
    When instance 3 is stopped, "gone" is deleted, 60 resources are put, and instance 3 starts again
    Then the entry has the same resources as instance 1

  Scenario: An entry receives a quota of a cap with its renewals, and is removed when it ends its session
    Given 1 control instance that takes a snapshot after every 20 log entries
    And a shift with a cap of 1000 requests a second
    When the only entry demands 600 requests a second of it
    Then it is granted at least 600 and at most 1000
    When it ends its session
    Then no entry is registered
