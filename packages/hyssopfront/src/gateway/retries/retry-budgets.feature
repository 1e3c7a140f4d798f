Feature: Budgets for sending requests again, over all entries

  Background:
    Given a service may get repeats for 20 percent of its requests and 200 more

  # Guards against repeats beyond the bound after a restart: each entry that started before it knew the others could
  # use the slack of all.
  Scenario: Entries that start without knowing each other keep the bound together
    Given 35 entries that each know of 1 entry
    When each of them gets 2 requests
    And each of them knows of 35 entries
    And each of them repeats as often as it may
    Then at most 214 repeats were sent

  # Guards against repeats beyond the bound when entries join: the part of the slack was computed once.
  Scenario: Entries that have saved repeats give up what is above their part when others join
    Given 5 entries that each know of 5 entries
    When each of them gets 1000 requests
    And each of them knows of 50 entries
    And each of them repeats as often as it may
    Then at most 20 repeats were sent

  # Guards against requests that fail on an entry with few of them, although another backend server could serve them.
  Scenario: A new entry may repeat its first requests
    Given 1 entry that knows of 1 entry
    When each of them gets 4 requests
    And each of them repeats as often as it may
    Then at least 4 repeats were sent
