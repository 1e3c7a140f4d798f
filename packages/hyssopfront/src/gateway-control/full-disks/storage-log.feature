Feature: Log of an instance whose disk is full

  # Guards against a leak, and against lines of another format that Node.js writes when it suspects one.
  Scenario: Nothing is kept for each opening of the storage
    Given the disk of an instance was full for 1200 ms
    Then as many listeners wait for the stop of the instance as before
