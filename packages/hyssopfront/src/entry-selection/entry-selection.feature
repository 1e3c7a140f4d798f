Feature: Entries that callers are told to use

  Background:
    Given entry a in region moldova, entry b in region muntenia and entry c in region muntenia

  Scenario: Callers get the ready entries of their region
    When entry b is not ready
    Then a caller in muntenia for an unbound host is told c

  # Guards against bodies of a bound route that go to a region where they must not be.
  Scenario: Without an entry of their region, callers of a bound host get those of its home regions
    When entry a is not ready
    Then a caller in moldova for a host bound to muntenia is told b and c
    And a caller in moldova for an unbound host is told b and c

  # Guards against callers that are sent to an entry that is gone.
  Scenario: An entry whose connection is lost is not listed any more
    When the connection of entry c is lost and 1600 ms pass
    Then a caller in muntenia for an unbound host is told b

  # Guards against a small entry that is overloaded when it is left alone in its region.
  Scenario: Callers of a region that has lost most of its capacity are told entries of other regions too
    When entry a has 0.7 cores
    Then a caller in moldova for an unbound host is told a
    When entry a has 0.3 cores
    Then a caller in moldova for an unbound host is told a, b and c
    And a caller in muntenia for an unbound host is told b and c

  # Guards against bodies of a bound route that an overflow takes to a region where they must not be.
  Scenario: Callers of a bound host are told entries of its home regions only
    When entry b has 0.3 cores
    And entry c is not ready
    Then a caller in muntenia for a host bound to muntenia is told b
    And a caller in muntenia for an unbound host is told b and a
