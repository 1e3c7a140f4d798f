Feature: Stand-in backend server

  # Guards against a stand-in that hides faults of the system: its records and refusals have to be exact.
  Scenario: It refuses requests over its slots before they run
    Given a stand-in with 2 slots that takes 1000 ms
    When 5 requests are sent at the same time
    Then 2 were answered and 3 were refused
    And the records name the 2 that ran

  Scenario: It withdraws from all entries when one of them drains it
    Given two stand-in entries and a backend server that announces itself to both
    Then both entries know it
    When the first entry drains it
    Then no entry knows it
    And it refuses requests

  Scenario: Its load reports can lie and stop
    Given two stand-in entries and a backend server that reports a load of 0.25
    Then both entries know it with a load of 0.25
    When its load reports stop
    Then both entries know it without a load

  Scenario: It gives up at the deadline and when the connection closes
    Given a stand-in with 2 slots that takes 5000 ms
    When a request with a deadline of 20 ms is sent
    Then its run ended as deadlinePassed
    When a request is sent and its connection closed
    Then its run ended as cancelled

  # Guards against a caller that asks for each request, which no real client does.
  Scenario: The caller caches look-ups for their time to live
    Given a stand-in with 2 slots that takes 0 ms
    When a caller with a look-up that lives 60 s sends 5 requests
    Then it has looked up once
