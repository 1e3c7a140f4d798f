Feature: Model checking of the core protocols

  Each specification is explored exhaustively within its bounds. Deliberate defects verify that a violation would be found.

  Scenario: No reachable state violates an invariant
    Then each short check without a defect visits all states and finds no violation

  Scenario: Every deliberate defect leads to a violation
    Then each short check with a defect finds a violation

  Scenario: An exploration that stops at its limit of states is not exhaustive
    When the specification of the check "election and commit with a crash" is explored up to 100 states
    Then the exploration is not exhaustive
