Feature: Snapshots that are being written when the storage is closed

  # Guards against a storage that cannot be opened any more, as the one before it has replaced its snapshot by an older one.
  Scenario Outline: A storage that is closed while it writes a snapshot does not change the files afterwards
    Given a log of 6 entries whose snapshot of entry 3 waits for the disk
    When the storage is closed <condition> and opened again
    And 4 entries are appended, and a snapshot of entry 8 is saved while the disk of the closed storage works again
    Then the storage can be opened with 10 entries and the snapshot of entry 8

    Examples:
      | condition              |
      | without a failure      |
      | after an append failed |
