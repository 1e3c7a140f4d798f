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
