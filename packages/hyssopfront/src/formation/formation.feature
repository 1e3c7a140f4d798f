Feature: Replacement of control instances

  # Guards against a lost voter that counts for so long that further losses leave no majority.
  Scenario: A silent voter is replaced by a learner that has caught up
    Given a leader of 5 voters and the learner "f"
    When the voter "e" is silent
    Then after 1500 ms the changes are "promote f, remove e"

  # Guards against a group with fewer voters: a voter that only pauses returns.
  Scenario: A silent voter is kept while no learner has caught up
    Given a leader of 5 voters and the learner "f"
    And the learner "f" has not caught up
    When the voter "e" is silent
    Then after 10000 ms there is no change
    When the learner "f" has caught up
    Then after 500 ms the changes are "promote f, remove e"

  # Guards against the removal of voters without a successor, such as in a restart of several instances.
  Scenario: Silent voters without a successor are kept
    Given a leader of 5 voters and no learner
    When the voter "e" is silent
    And the voter "d" is silent
    Then after 10000 ms there is no change

  # Guards against a successor that takes the place of an instance that pauses, while the one that is gone counts.
  Scenario: The voter that has been silent for longest is replaced first
    Given a leader of 5 voters and no learner
    When the voter "e" is silent
    And 2000 ms pass
    And the voter "d" is silent
    And 1500 ms pass
    And the learner "f" joins
    Then after 500 ms the changes are "promote f, remove e"

  Scenario: Two instances are replaced in a row
    Given a leader of 5 voters and the learner "f"
    When the voter "e" is silent
    Then after 1500 ms the changes are "promote f, remove e"
    When the learner "g" joins
    And the voter "d" is silent
    Then after 1500 ms the changes are "promote g, remove d"

  # Guards against a dead learner that holds up the replacement.
  Scenario: A learner that responds is preferred to one that does not
    Given a leader of 5 voters and the learner "f"
    When the learner "g" joins
    And the learner "f" is silent
    And the voter "e" is silent
    Then after 1500 ms the changes are "promote g, remove e"
    And after 3000 ms the changes are "remove f"

  # Guards against an instance that is stopped as planned, but counts as a voter for 3 s after its end.
  Scenario: A voter that is about to stop is replaced at once
    Given a leader of 5 voters and the learner "f"
    When the voter "e" is about to stop
    Then after 250 ms the changes are "promote f, remove e"

  Scenario: A voter that is about to stop is replaced before one that is silent
    Given a leader of 5 voters and no learner
    When the voter "e" is silent
    And 1500 ms pass
    And the voter "d" is about to stop
    And the learner "f" joins
    Then after 250 ms the changes are "promote f, remove d"

  # Guards against a group that shrinks when its instances are restarted.
  Scenario: A voter that stops keeps its place while no learner has caught up
    Given a leader of 5 voters and the learner "f"
    And the learner "f" has not caught up
    When the voter "e" is about to stop
    Then after 10000 ms there is no change

  Scenario: An instance that is back after a stop is not replaced
    Given a leader of 5 voters and no learner
    When the voter "e" is about to stop
    And 2000 ms pass
    And the learner "f" joins
    Then after 10000 ms there is no change

  # Guards against an instance that joins the group again while it stops.
  Scenario: An instance that is about to stop does not join the group
    Given a replica that is not a member
    Then after 500 ms it has asked "b, c" to join
    When it is about to stop
    Then it has asked "b, c" to be replaced
    And after 5000 ms it has asked none to join

  # Guards against a leader whose disk fails right after the group has grown, and which then never finds the next leader.
  Scenario: An instance whose storage closes right after changes of the members stays connected to all of them
    Given a leader of 3 voters
    When "d" asks to join
    And "e" asks to join
    Then after 250 ms the changes are "addLearner d, addLearner e, promote d, promote e"
    When the storage of the leader closes
    Then after 250 ms it is connected to "b, c, d, e"
