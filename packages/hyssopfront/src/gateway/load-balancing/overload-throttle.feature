Feature: Adaptive throttling while requests time out

  Background:
    Given a throttle whose random numbers are evenly spread

  Scenario: Requests are admitted while the service responds
    When 100 requests are completed within 2 s
    Then all of 100 requests are admitted

  # Guards against rejections because of a few slow backend servers.
  Scenario: A few timeouts reject nothing
    When 80 requests are completed and 20 time out within 2 s
    Then all of 100 requests are admitted

  Scenario: Two timeouts of a rarely used service reject nothing
    When 0 requests are completed and 2 time out within 1 s
    Then all of 100 requests are admitted

  Scenario: Most requests are rejected at once while most of them time out
    When 10 requests are completed and 90 time out within 2 s
    Then between 5 and 20 of 100 requests are admitted

  Scenario: Requests for cached objects are always admitted
    When 0 requests are completed and 100 time out within 2 s
    Then all of 100 requests for cached objects are admitted

  # Guards against a service that stays rejected after the cause of the timeouts has ended.
  Scenario: All requests are admitted again once those that are admitted are completed
    Given 0 requests are completed and 100 time out within 2 s
    When 20 requests arrive each second for 15 s, and those that are admitted are completed
    Then all of 100 requests are admitted

  Scenario: A service without requests for a time is not throttled
    Given 0 requests are completed and 100 time out within 2 s
    When 20 s pass without requests
    Then all of 100 requests are admitted
