Feature: Loss of power

  # Guards against a new data folder that vanishes as a whole in a loss of power.
  Scenario: A new data folder is kept
    Given a disk without data folder
    When 3 entries are appended and the power fails
    Then the storage is opened with 3 entries
