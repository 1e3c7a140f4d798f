Feature: Log of an instance whose disk is full

  # Guards against log lines that do not tell on-call engineers which file failed and for how long the storage was closed.
  Scenario: The log tells what has failed and when the storage is open again
    Given the disk of an instance was full for 1200 ms
    Then each line about the failure has the step, the path, the code ENOSPC and the time since the first failure
    And the line about the opening has the number of failures and the time for which the storage was closed

  # Guards against a leak, and against lines of another format that Node.js writes when it suspects one.
  Scenario: Nothing is kept for each opening of the storage
    Given the disk of an instance was full for 1200 ms
    Then as many listeners wait for the stop of the instance as before
