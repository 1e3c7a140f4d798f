Feature: Session of an entry when the leader fails

  # Guards against an entry that alternates between an unresponsive leader and instances that still name it as the leader.
  Scenario: An entry finds the new leader while the other instances still name the unresponsive one
    Given an entry with a session at "control-1", the leader of 5 control instances
    When "control-1" stops responding, and the others name it until they elect "control-4" after 1600 ms
    Then the entry has renewed its session at "control-4" within 2200 ms after the failure

  # Guards against an entry that never returns to an instance that failed once.
  Scenario: An entry returns to a leader that was unresponsive for a while
    Given an entry with a session at "control-1", the leader of 5 control instances
    When "control-1" stops responding for 1500 ms and remains the leader
    Then the entry has renewed its session at "control-1" within 3000 ms after the failure
