Feature: End-to-end request path

  # Guards against components that work separately but not together: the resources of operators and the announcements of
  # backend servers must affect lookups and requests at every entry.
  Scenario: Every entry of a new deployment serves lookups and requests
    Given the cooperative deployment with 6 backend servers of each service
    Then a lookup at every entry returns all entries, those of the caller's availability zone and region first
    When a request of each class is sent to every entry
    Then each ran and received its complete response from the entry
    When each run-once request is sent again to another entry
    Then each received the stored response

  # Guards against responses that are misdelivered or lost under concurrent load of all kinds.
  Scenario: Concurrent load of all kinds
    Given the cooperative deployment with 6 backend servers of each service
    And operators that change 2 resources
    And a running load of lookups, idempotent and run-once requests
    When the load completes 300 more requests
    Then the checker finds no violation
    And every request eventually completed
