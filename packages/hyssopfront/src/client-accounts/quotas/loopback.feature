Feature: Quotas with a real control instance and a real entry

  # Guards against parts that do not fit together: messages, the lease of the leader, statuses and refunds.
  Scenario: An account is limited, others are not, and the entry serves it without a leader
    Given a control instance and an entry, both on loopback addresses
    And a service with the accounts shop, with 5 requests a second and a burst of 5, and free, without a quota
    And no backend server
    When 10 requests of shop are sent
    Then all get status 503
    When a backend server starts
    And 20 requests of free are sent
    Then all get status 200
    And the entry has made no calls for tokens of free
    When 30 requests of shop are sent
    Then 1 to 10 of them get status 200 and the others 429 with a time to retry of at most 2 s
    And the backend server has got only these
    When a request of shop is sent after its time to retry
    Then all get status 200
    When the control instance stops
    And 10 requests of shop are sent until one gets 503
    Then 1 to 5 of them get status 200 and the others 503 with a time to retry of at most 1 s
    And the entry has logged that it lost the leader once
