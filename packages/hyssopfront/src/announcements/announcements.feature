Feature: Announcements of backend servers
  The entries a, b and c pull from each other. Their clocks show unrelated times and are advanced manually. Polls and
  replies between them take 20 ms each unless a step changes that.

  Scenario: An announcement reaches every entry and expires 2 s after its receipt
    Guards against the use of backend servers that crashed.
    Given the entries "a,b,c"
    When "die-1" announces incarnation "i1" to "a"
    And 500 ms pass
    Then "die-1" is usable at "a,b,c"
    When 1500 ms pass
    Then "die-1" is usable at ""

  Scenario: Renewals keep an announcement at every entry
    Guards against expiry of a copy between two polls.
    Given the entries "a,b,c"
    When "die-1" announces incarnation "i1" to "a" every 500 ms for 10000 ms
    Then after the first second "die-1" was usable at every entry at all times

  Scenario: Redundant copies are polled rarely
    Guards against needless polls. The limit allows 2 polls in 10 s, 2 at the start, and 2 in reserve.
    Given the entries "a,b"
    When "die-1" announces incarnation "i1" to "a,b" every 500 ms for 10000 ms
    Then no entry polled more than 6 times

  Scenario: A backend server that no longer announces to one entry stays usable there
    Guards against a copy that expires because the entry polls rarely.
    Given the entries "a,b,c"
    When "die-1" announces incarnation "i1" to "a,b,c" every 500 ms for 4000 ms
    And "die-1" announces incarnation "i1" to "a" every 500 ms for 6000 ms
    Then after the first second "die-1" was usable at every entry at all times

  Scenario: A leaving backend server is not used, even by an isolated entry
    Guards against new requests to a backend server later than 2 s after it announced to an entry that it is leaving.
    Given the entries "a,b,c"
    When "die-1" announces incarnation "i1" to "a"
    And "die-1" announces incarnation "i1" to "c"
    And 100 ms pass
    And the entry "c" is isolated
    And "die-1" of incarnation "i1" leaves at "a"
    Then "die-1" is usable at "b,c"
    When 100 ms pass
    Then "die-1" is usable at "c"
    When 1800 ms pass
    Then "die-1" is usable at ""

  Scenario: A tombstone hides older copies and late announcements until a new incarnation announces itself
    Guards against an older copy that another entry returns.
    Given the entries "a,b,c"
    When the entry "b" is isolated
    And "die-1" announces incarnation "i1" to "b"
    And "die-1" of incarnation "i1" leaves at "a"
    And the entry "b" is no longer isolated
    And 1000 ms pass
    Then "die-1" is usable at ""
    When "die-1" announces incarnation "i1" to "b" and is told to leave
    And 500 ms pass
    Then "die-1" is usable at ""
    When 20000 ms pass
    And "die-1" announces incarnation "i1" to "a" and is told to leave
    Then "die-1" is usable at ""
    When "die-1" announces incarnation "i2" to "b"
    And 100 ms pass
    Then "die-1" is usable at "a,b,c"

  Scenario: A delayed reply does not extend an announcement
    Given the entries "a,b"
    When replies to "b" take 900 ms
    And 100 ms pass
    And "die-1" announces incarnation "i1" to "a"
    And 2000 ms pass
    Then "die-1" was usable at "b" for some time and never 2000 ms after its announcement

  Scenario: Of different copies at two entries, the latest is used
    Guards against the use of an older copy in place of a newer one.
    Given the entries "a,b,c"
    When "die-1" announces incarnation "i1" to "a"
    And 300 ms pass
    And "die-1" announces incarnation "i2" to "b"
    And 100 ms pass
    Then every entry uses incarnation "i2" of "die-1", direct only at "b"
    And a dispatch to incarnation "i1" of "die-1" is rejected at every entry

  Scenario: An address from a direct announcement takes precedence over addresses from other entries
    Guards against requests to an address that reaches the backend server only from another entry.
    Given the entries "a,b"
    When "die-1" announces incarnation "i1" with port 9001 to "a"
    And 100 ms pass
    And "die-1" announces incarnation "i1" with port 9002 to "b"
    And 100 ms pass
    Then port 9001 of "die-1" is used at "a" and port 9002 at "b"
    When 1840 ms pass
    Then port 9002 of "die-1" is used at "a" and port 9002 at "b"

  Scenario: Only the entry that received an announcement passes it on
    Guards against copies that circulate between entries.
    Given the entries "a,b,c" where "c" pulls only from "b"
    When "die-1" announces incarnation "i1" to "a"
    And 500 ms pass
    Then "die-1" is usable at "a,b"

  Scenario: Entries pull everything from a restarted entry
    Given the entries "a,b"
    When "die-1" announces incarnation "i1" to "a"
    And 100 ms pass
    And the entry "a" restarts
    And "die-2" announces incarnation "i1" to "a"
    And 600 ms pass
    Then "die-2" is usable at "a,b"

  Scenario: An entry that was suspended rejects announcements that may have been buffered
    Given the entries "a"
    When "a" is suspended for 5000 ms
    Then "die-1" cannot announce incarnation "i1" to "a"
    When 300 ms pass
    And "die-1" announces incarnation "i1" to "a"
    Then "die-1" is usable at "a"

  Scenario: The number of backend servers is limited, and expired ones are removed to free capacity
    Given the entries "a"
    When 8 backend servers announce to "a"
    Then "die-1" cannot announce incarnation "i1" to "a"
    When 2000 ms pass
    And "die-1" announces incarnation "i1" to "a"
    Then "die-1" is usable at "a"

  Scenario: Random announcements, departures, delays and partitions
    Given random histories with seed 3906
    Then no entry uses a backend server 2 s after its last announcement or its departure
