Feature: Structured log

  # Guards against a failed request whose cause on-call engineers cannot find by its id.
  Scenario: The timeline of a request is assembled from the logs of several instances
    Given logs in which request q7 failed at stoc-1 on entry-1 after stoc-1 drained and was ejected there
    Then the timeline of q7 is "backend server changed, backend server ejected, attempt ended, request ended"
    And the timeline of q8 is ""

  # Guards against a process that blocks on a slow reader of its log.
  Scenario: A log reader that does not read neither blocks the process nor exhausts its memory
    When a process writes 200000 lines to a pipe that is not read
    Then it finishes within 10 s, has dropped lines and uses less than 150 MiB

  # Guards against a log volume that grows with the load, and against dropped lines about failures.
  Scenario: Lines about successful requests are rate limited, lines about failures are not
    When a process writes 1000 lines about requests at once, every tenth about a failure
    Then 100 lines are about successful requests and 100 about failures
    And 800 lines are counted as dropped

  # Guards against a line that is cut within its JSON by another, and against lines that are lost uncounted at an exit.
  Scenario Outline: A process that exits while a part of its log is being written leaves whole lines
    When a process logs <count> items and a failure and exits, while its output is read from then on
    Then each of the <count> items and the failure has a whole line

    Examples:
      | count |
      | 800   |
      | 4000  |

  # Guards against a process that cannot exit, as nothing reads its log or its reader has gone.
  Scenario: A process whose log cannot be written exits
    When a process logs 4000 items and a failure and exits, while its output is not read and is closed 2 s later
    Then it has exited within 10 s

  # Guards against a cut line when the log is written in parts, on a full disk or to a slow reader.
  Scenario Outline: Lines are whole when writes are partial and fail
    Given a log destination that accepts 7 bytes at a time and fails with <code> every third time
    When 50 lines are written and flushed
    Then the destination holds exactly these lines
    And no line is dropped

    Examples:
      | code   |
      | ENOSPC |
      | EAGAIN |
      | EIO    |

  # Guards against lines that are dropped uncounted after the reader of the log has gone.
  Scenario: Lines are dropped and counted once the reader has gone
    Given a log destination that accepts 7 bytes at a time and fails with EPIPE every third time
    When 50 lines are written and flushed
    Then 50 lines are dropped
    When 50 lines are written and flushed
    Then 100 lines are dropped

  # Guards against failures of the log itself of which the log does not tell.
  Scenario: Failed writes are reported once writing works again
    Given a log destination that accepts 7 bytes at a time and fails with ENOSPC every third time
    When 50 lines are written and flushed
    Then failed writes with ENOSPC are reported

  Scenario: A slow reader is not reported as a failure
    Given a log destination that accepts 7 bytes at a time and fails with EAGAIN every third time
    When 50 lines are written and flushed
    Then no failed write is reported
