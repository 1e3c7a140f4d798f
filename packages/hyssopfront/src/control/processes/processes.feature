Feature: Control instances as processes

  Scenario: Concurrent changes from one revision have one winner, which fresh reads return at every instance
    Given 3 running control processes
    When 6 operators change one resource from the same revision at all instances, 10 times in a row
    Then each time exactly one change wins, the others get the winner, and each instance returns it

  Scenario: An unresponsive entry delays a change until its lease has ended
    Given 3 running control processes
    And the entries "entry-1" and "entry-2"
    When "entry-2" stops responding and a change is made
    Then the change becomes stalled because of "entry-2"
    And the change comes in force only when "entry-2" holds no lease
    And "entry-2" gets a lease again only after it has caught up

  Scenario: A leader that was suspended past its lease returns no stale state
    Given 3 running control processes
    When the leader is suspended until another one has committed a change
    Then the first response of the resumed instance is the new state

  Scenario: A leader that stops transfers its leadership
    Given 3 running control processes
    When the leader stops while changes are made
    Then each change succeeds, and the process exits with code 0

  Scenario: A replica whose disk was replaced rejoins its group
    Given 3 running control processes
    When an instance that is not the leader is killed, loses its data folder and is started again
    Then it votes again with a new store, and a change commits with it and one other instance

  Scenario: Acknowledged changes survive kills and restarts
    Given 3 running control processes
    When 4 operators change their own resources while instances are killed and restarted, with seed 5
    Then the watch returns each acknowledged change once and in order, and each resource is as last acknowledged
