Feature: Client accounts

  # Guards against a key that is looked up under an account that no longer has it, or never had it.
  Scenario: The keys of an account follow its versions
    Given the account shop with the keys k1 and k2
    Then a request with the key k1 belongs to shop
    When the account shop has the keys k2 and k3
    Then a request with the key k3 belongs to shop
    And a request with the key k1 is rejected because of an unknown API key
    When the account shop is removed
    And the account other has the keys k9 and k8
    Then a request with the key k2 is rejected because of an unknown API key

  # Guards against a key that is lost when it moves and the new owner's item arrives first.
  Scenario: A key that has moved to another account stays with it
    Given the account shop with the keys k1 and k2
    When the account other has the keys k1 and k5
    And the account shop has the keys k2 and k3
    Then a request with the key k1 belongs to other

  Scenario Outline: Credentials are checked once there is an account
    Given the account shop with the keys k1 and k2
    Then credentials "<credentials>" on a route that <anonymous> anonymous requests give <result>

    Examples:
      | credentials | anonymous | result          |
      | Bearer k1   | does not allow | shop            |
      | bearer  k1  | does not allow | shop            |
      | Bearer k1   | allows      | shop            |
      | Bearer k7   | does not allow | unknown API key |
      | Bearer k7   | allows      | unknown API key |
      | Basic k1    | does not allow | unknown API key |
      | Bearer      | does not allow | unknown API key |
      |             | does not allow | no API key      |
      |             | allows      | anonymous       |

  # Guards against a deployment without accounts whose callers send credentials of their own.
  Scenario: Without accounts no credentials are needed
    Given no account
    Then credentials "Basic xyz" on a route that does not allow anonymous requests give anonymous

  Scenario Outline: The home regions of the route and of the account both bind
    Then a route in "<route>" and an account in "<account>" are served in "<result>"

    Examples:
      | route | account | result |
      |       |         | all    |
      | a, b  |         | a, b   |
      |       | b       | b      |
      | a, b  | b, c    | b      |
      | a     | b       | none   |

  # Guards against a key that two accounts use, in one change or in two.
  Scenario Outline: A change that makes two accounts share a key is rejected as a whole
    Given a catalog with the account shop with the keys k1 and k2
    When a change sets <changes>
    Then the change is <result>

    Examples:
      | changes                              | result   |
      | other to k1 k5                       | rejected |
      | other to k5 k6 and third to k6 k7    | rejected |
      | other to k5 k6                       | accepted |
      | shop to k2 k3 and other to k1 k5     | accepted |
      | shop to k2 k2                        | accepted |
