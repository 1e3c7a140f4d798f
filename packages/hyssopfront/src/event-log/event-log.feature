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
