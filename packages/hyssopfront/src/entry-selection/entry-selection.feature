Feature: Selection of entries for callers

  Background:
    Given entry a in region moldova, entry b in region muntenia and entry c in region muntenia

  Scenario: Callers get the ready entries of their region
    When entry b is not ready
    Then a caller in muntenia for an unrestricted host gets c

  # Guards against sending request bodies of a restricted route to a region that must not process them.
  Scenario: Without an entry of their region, callers of a restricted host get those of its home regions
    When entry a is not ready
    Then a caller in moldova for a host restricted to muntenia gets b and c
    And a caller in moldova for an unrestricted host gets b and c

  # Guards against sending callers to an entry that has stopped.
  Scenario: An entry whose connection is lost is no longer listed
    When the connection of entry c is lost and 1600 ms pass
    Then a caller in muntenia for an unrestricted host gets b

  # Guards against overloading a small entry that is the only one left in its region.
  Scenario: Callers of a region that has lost most of its capacity also get entries of other regions
    When entry a has 0.7 cores
    Then a caller in moldova for an unrestricted host gets a
    When entry a has 0.3 cores
    Then a caller in moldova for an unrestricted host gets a, b and c
    And a caller in muntenia for an unrestricted host gets b and c

  # Guards against overflow that sends request bodies of a restricted route to a region that must not process them.
  Scenario: Callers of a restricted host only get entries of its home regions
    When entry b has 0.3 cores
    And entry c is not ready
    Then a caller in muntenia for a host restricted to muntenia gets b
    And a caller in muntenia for an unrestricted host gets b and a

  # Guards against lookups that wait for an index of thousands of routes: it took a second for 10,000 of one host.
  Scenario: The index of a host with many routes lists each home region once
    Then 10000 routes of one host have the home region "muntenia"
