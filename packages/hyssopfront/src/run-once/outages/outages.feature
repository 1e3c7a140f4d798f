Feature: Calls to a run-once group after an outage

  # Guards against entries whose retries of an outage keep their group from serving requests after it.
  Scenario: A group that answers again begins new requests although many outcomes of its outage are not reported yet
    Given a group that serves 40 calls per second in turn
    And an entry whose callers send 10 requests per second, which take 50 ms each
    When the group answers no call for 20 s
    And it answers again for 30 s
    Then all requests of the last 25 s were begun
    And the outcomes of all attempts are recorded

  # Guards against calls about attempts that a group without a leader has certainly not recorded: the sooner callers
  # retry, the more of them keep the group from electing a leader.
  Scenario: Attempts that the group has certainly not recorded cause no call after their rejection
    Given a group that serves 40 calls per second in turn
    And an entry whose callers send 10 requests per second, which take 50 ms each
    When the group has no leader for 10 s and the callers leave
    Then the entry makes no call in the next 60 s

  # Guards against requests that wait for the reports of many outcomes.
  Scenario: The outcome of an attempt is reported at once while the group answers
    Given a group that serves 40 calls per second in turn
    And an entry whose callers send 10 requests per second, which take 50 ms each
    When it answers again for 10 s
    Then all requests of the last 10 s were begun
    And the entry has made one call for each begin and one for each outcome
