Feature: Loss of power

  # Guards against a new data folder that vanishes as a whole in a loss of power.
  Scenario: A new data folder is kept
    Given a disk without data folder
    When 3 entries are appended and the power fails
    Then the storage is opened with 3 entries

  # Guards against renamed and created files that a restarted process relies on before their names are durable.
  Scenario Outline: Files found after a kill are kept
    Then what is found after a kill during any file operation of "<write>" survives a loss of power

    Examples:
      | write             |
      | create storage    |
      | save vote         |
      | save snapshot     |
      | install snapshot  |

  # Guards against written entries that a restarted process acknowledges before they are durable.
  Scenario Outline: Entries found after a kill are kept
    Then what is found after a kill during any file operation of "<write>" survives a loss of power

    Examples:
      | write                |
      | append               |
      | append a new segment |
      | truncate             |

  # Guards against a log that is taken for corrupt, since a durable write follows one that was never synced.
  Scenario Outline: A storage that was killed during "<write>" and again during an append is opened after a loss of power
    Then after a kill during any file operation of "<write>" and another during an append, what was found is kept

    Examples:
      | write                |
      | append               |
      | append a new segment |

  # Guards against entries that a disk failed to write and that a reopened storage acknowledges after a later sync.
  Scenario Outline: Entries found after a disk failure are kept
    Then what is found after a disk failure in any file operation of "<write>" survives a loss of power

    Examples:
      | write                |
      | create storage       |
      | append               |
      | append a new segment |
      | truncate             |
      | save vote            |
      | save snapshot        |
      | install snapshot     |

  # Guards against orders of kills, disk failures and losses of power that no other scenario covers.
  Scenario: Random kills, disk failures and losses of power
    Then 300 random histories from seed 1 lose nothing that was acknowledged or found by an opened storage

  # Guards against two storages of one process that write the same temporary file.
  Scenario: A closed storage writes no snapshot any more
    Given a storage whose snapshot is being written
    Then closing the storage waits until the snapshot has been written
