Feature: Voters of a bootstrapped group

  # Guards against a data folder that vanishes in a loss of power, because one of its new ancestors was never synced.
  Scenario: The voters are stored in a folder whose new ancestors are durable
    When the first voters are stored in the folder data/control/1, of which nothing exists
    Then each of its ancestors has been synced
