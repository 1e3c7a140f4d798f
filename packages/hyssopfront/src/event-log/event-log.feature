Feature: Structured log

  # Guards against a failed request that on-call engineers cannot explain from its id.
  Scenario: The story of a request is put together from the logs of several instances
    Given logs in which request q7 failed at stoc-1 on entry-1 after stoc-1 was ejected there
    Then the story of q7 is "backend server ejected, attempt ended, request ended"
    And the story of q8 is ""

  # Guards against a process that waits for a reader of its log.
  Scenario: A reader that does not read neither blocks the process nor fills its memory
    When a process writes 200000 lines to a pipe that nobody reads
    Then it ends its work within 10 s, has dropped lines and holds less than 150 MiB

  # Guards against a volume of lines that grows with the load, and against failures that are lost in it.
  Scenario: Lines about requests that did not fail are limited, failures are not
    When a process writes 1000 lines about requests at once, every tenth about a failure
    Then 100 lines are about requests that did not fail and 100 about failures
    And 800 lines are counted as dropped
