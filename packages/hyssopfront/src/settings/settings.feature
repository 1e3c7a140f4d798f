Feature: Settings are validated completely before anything starts

  Scenario: A complete file is accepted
    Given the settings of an entry
    Then the settings are accepted

  Scenario Outline: An error names the file, the key and what is expected
    Given the settings of a control instance
    When <mistake>
    Then the settings are rejected at "<key>" with "<message>"

    Examples:
      | mistake                                                   | key                               | message                                   |
      | the line "colour = 3" is added at the top                 | colour                            | not known                                 |
      | "peerPort = 7201" is replaced with "peerPort = 70000"     | control.peerPort                  | from 1 to 65535                           |
      | "peerPort = 7201" is replaced with "peerPortMs = 7201"    | control.peerPortMs                | not known                                 |
      | "127.0.0.1" is replaced with "0.0.0.0"                    | instance.address                  | other instances can reach                 |
      | "127.0.0.1" is replaced with "localhost"                  | instance.address                  | not a host name                           |
      | the last "operatorPort = 7204" becomes "operatorPort = 7202" | controlInstances.1.operatorPort | already used by controlInstances.0.operatorPort |
      | the last "control-2" becomes "control-1"                  | controlInstances.1.name           | used twice                                |
      | the key "availabilityZone" is left out of the instance    | instance.availabilityZone         | expected string                           |
      | "voters = [" is replaced with "voters = ["control-9", "   | runOnceGroups.0.voters            | "control-9" is not in controlInstances    |
      | "clusterId" is replaced with "clusterId = ="              |                                   | line 1                                    |

  Scenario: Random edits never crash the validation
    Given the settings of a control instance
    Then 2000 random edits are either accepted or rejected with a settings error
