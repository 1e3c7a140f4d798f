Feature: Checker of histories

  # Guards against a checker that reports violations in a correct history.
  Scenario: A correct history has no violations
    Given a correct history
    Then the checker finds no violation

  # Guards against a checker that misses a violation. Each row changes the correct history in one place.
  Scenario Outline: A history that <fault> violates <violation>
    Given a correct history
    When the history <fault>
    Then the checker finds only <violation>

    Examples:
      | fault                                                        | violation            |
      | runs a run-once key at two backend servers                   | ranTwice             |
      | reports not-run for a request that ran                       | notRunButRan         |
      | contains a response without an outcome                       | answerWithoutOutcome |
      | returns the response of another request to a caller          | foreignAnswer        |
      | replays the response of another key                          | foreignAnswer        |
      | truncates a response                                         | shortAnswer          |
      | moves 11 requests in 999 ms with a cap of 10                 | overCap              |
      | starts a request 2001 ms after its backend server left       | workAfterLeaving     |
      | ends with a read of an object as before its last change      | changeMissing        |
      | does not read a changed object at the end                    | changeMissing        |
      | reads another spec at an acknowledged revision               | changeReverted       |
      | applies a resent change again                                | changeAppliedTwice   |
      | acknowledges two changes from one revision                   | twoWinners           |
      | reads an old state after a newer one was acknowledged        | staleRead            |
      | reports a change in force while an entry uses an older one   | inForceTooEarly      |
      | returns an entry to an older revision                        | entryWentBack        |

  # Guards against false violations on a slow machine.
  Scenario: Requests that may have been admitted outside of the window do not count in it
    Given a correct history
    When the history moves 20 requests that were queued for up to 1 s with a cap of 10
    Then the checker finds no violation
