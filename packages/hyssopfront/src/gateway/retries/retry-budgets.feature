Feature: Retry budgets over all entries

  Background:
    Given a service may get retries for 20 percent of its requests and 200 in addition

  # Guards against retries beyond the bound after a restart: each entry that did not know the others yet could use the
  # whole slack.
  Scenario: Entries that start without knowing each other keep to the bound together
    Given 35 entries that each know of 1 entry
    When each of them gets 2 requests
    And each of them knows of 35 entries
    And each of them retries until its budget is used up
    Then at most 214 retries were sent

  # Guards against retries beyond the bound when entries join: the burst of an entry was computed only once.
  Scenario: Entries lose unused retries beyond their part of the slack when others join
    Given 5 entries that each know of 5 entries
    When each of them gets 1000 requests
    And each of them knows of 50 entries
    And each of them retries until its budget is used up
    Then at most 20 retries were sent

  # Guards against failures on an entry with few requests although another backend server could serve them.
  Scenario: A new entry may retry its first requests
    Given 1 entry that knows of 1 entry
    When each of them gets 4 requests
    And each of them retries until its budget is used up
    Then at least 4 retries were sent
