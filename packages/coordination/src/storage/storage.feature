Feature: Durable log storage

  Scenario: A write interrupted at any byte loses no acknowledged entry
    Given a log of 12 acknowledged entries, the last 4 of them in one write
    Then truncating the file at any byte of the last 5 records keeps all records before it and allows new appends
    And replacing the bytes after any such position with zeros is treated as an incomplete write

  Scenario: A process killed during appends loses no acknowledged entry
    Then a child process that is killed 3 times during appends never loses an acknowledged entry

  Scenario: A failure at any file operation loses no acknowledged write
    Then appends, votes, truncations and snapshots acknowledged before a failure at any file operation are kept

  Scenario: Corruption before the end of the log is rejected
    Given a log of 12 acknowledged entries, the last 4 of them in one write
    Then a changed byte anywhere in the first record is rejected as corruption in step "open"
    And a missing segment in the middle of a log is rejected as corruption in step "open"
    And a changed byte in the vote file is rejected as corruption in step "vote"
    And a missing identity file is rejected as corruption in step "identity"

  Scenario: The data folder of another replica is rejected
    Given a log of 12 acknowledged entries, the last 4 of them in one write
    Then opening it for another cluster or another replica is rejected and the error names both

  Scenario: A full disk fails all further writes with advice for the operator
    Given a disk that is full after 2000 bytes
    When entries are appended until one fails
    Then the failure tells the operator to free space and every later write fails
    And all acknowledged entries are found once there is free space

  Scenario: Two processes cannot use the same data folder
    Given a child process that has locked a folder
    Then opening the folder in this process is rejected in step "lock"
    And opening it succeeds as soon as the child process is killed

  Scenario: Concurrent appends share one fsync
    When 200 appends run at the same time
    Then the log was synced at most 1 time

  Scenario: Truncated entries do not reappear and covered segments are deleted
    Then truncations, later entries and snapshots are found unchanged after each reopening

  Scenario: A read during a write returns the entries that are still being written
    Given a reopened log of 10 entries whose next write is blocked
    When entries 11 to 15 are appended and entries 1 to 15 are read before the write completes
    Then all 15 entries are read
