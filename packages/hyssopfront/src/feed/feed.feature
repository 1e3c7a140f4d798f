Feature: Entries follow the change feeds of the control instances

  # Guards against a long change that an entry reads from the start forever, because its link carries less within the
  # inactivity timeout of a connection.
  Scenario: A change that takes longer than the inactivity timeout reaches an entry without a lost connection
    Given an entry that follows 3 control instances through a link of 3.4 Mbit/s
    When each control instance gets the same 3000 items of 500 bytes
    Then the entry has 3000 items within 15 s
    And no connection to a control instance was lost
    And the link carried at most 2.4 MB

  # Guards against a change that crosses to each entry once for each control instance.
  Scenario: Only the nearest control instance sends values
    Given an entry that follows 3 control instances through a link of 100 Mbit/s
    When each control instance gets the same 200 items of 500 bytes
    Then the entry has 200 items within 5 s
    And after 3 s, no value was fetched from another instance

  # Guards against an entry that stays behind with a control instance that no longer gets changes.
  Scenario: A value that the nearest control instance does not deliver is fetched from another one
    Given an entry that follows 3 control instances through a link of 100 Mbit/s
    When each control instance but the nearest one gets the same 10 items of 500 bytes
    Then the entry has 10 items within 2 s

  # Guards against calls that each change costs at every control instance, and against an entry that an instance lists as
  # disconnected because it has no read open for 1,500 ms.
  Scenario: While values change all the time, an entry reads versions once every 800 ms
    Given an entry that follows 3 control instances through a link of 100 Mbit/s
    When a value of each control instance changes every 20 ms for 4 s
    Then each instance but the nearest one has got at most 8 reads and no report
    And it was never without an open read for more than 1300 ms

  Scenario: Values are read from another control instance when the nearest one is lost
    Given an entry that follows 3 control instances through a link of 100 Mbit/s
    When the nearest control instance stops
    And each control instance gets the same 200 items of 500 bytes
    Then the entry has 200 items within 4 s

  # Guards against routes that fill the link of an entry, although they differ in their names only.
  Scenario: Routes take a fraction of their size on the way
    When 1000 routes are encoded for a reader
    Then they take at most 30000 bytes, and decoding returns them

  # Guards against a reply that occupies the memory of its reader.
  Scenario: Values that are too long after decompression are rejected
    Then decoding a reply of 64 MB in 100 kB fails

  # Guards against a restarted control instance that a reader would not read again.
  Scenario: The feed of a restarted control instance is read from the start
    Given a feed with 300 values of 1000 bytes
    When a reader of another feed reads from position 5000
    Then it gets the first values

  # Guards against changes that are lost between the parts of a long reply.
  Scenario Outline: A reader that reads in parts has all values in the end
    Given a feed with 300 values of 1000 bytes
    When values change at random while a reader reads in parts, with seed <seed>
    Then the reader has the last value of each key, and each part was at most 135000 bytes long

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
