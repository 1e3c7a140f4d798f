Feature: Changes at an instance that is not the leader

  # Guards against a wait of 5 s for each request to an instance that is cut off, while other instances have a leader.
  Scenario: An instance that has had no leader for longer than a failover rejects requests at once
    Given an instance that has known no leader for 3000 ms
    Then a change and a fresh read are rejected before any time passes

  # Guards against rejections during a failover, which the instance has to bridge by retrying.
  Scenario: An instance whose leader has just failed waits for the next one
    Given an instance that has known no leader for 1000 ms
    When a change and a fresh read are requested and another instance is elected 1900 ms later
    Then both succeed

  Scenario: An instance stops waiting when a failover is overdue
    Given an instance that has known no leader for 1000 ms
    When a change and a fresh read are requested and no instance is elected for 2100 ms
    Then both are rejected
