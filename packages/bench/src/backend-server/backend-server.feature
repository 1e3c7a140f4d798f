Feature: Stand-in backend server

  # Guards against a stand-in that hides faults of the product because its records or rejections are inexact.
  Scenario: It rejects requests beyond its slots before they run
    Given a stand-in with 2 slots that takes 1000 ms
    When 5 requests are sent at the same time
    Then 2 succeeded and 3 were rejected
    And the records contain the 2 that ran

  Scenario: It withdraws from all entries when one of them drains it
    Given two stand-in entries and a backend server that announces itself to both
    Then both entries know it
    When the first entry drains it
    Then no entry knows it
    And it rejects requests

  Scenario: Its load reports can be false or missing
    Given two stand-in entries and a backend server that reports a load of 0.25
    Then both entries know it with a load of 0.25
    When its load reports stop
    Then both entries know it without a load

  Scenario: It stops a run at the deadline and when the connection closes
    Given a stand-in with 2 slots that takes 5000 ms
    When a request with a deadline of 20 ms is sent
    Then its run ended as deadlinePassed
    When a request is sent and its connection closed
    Then its run ended as cancelled

  # Guards against a caller that looks entries up for each request, which no real client does.
  Scenario: The caller caches lookups for their time to live
    Given a stand-in with 2 slots that takes 0 ms
    When a caller whose lookup has a time to live of 60 s sends 5 requests
    Then it has looked up once
