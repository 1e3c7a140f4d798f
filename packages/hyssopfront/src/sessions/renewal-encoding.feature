Feature: Wire format of session renewals

  # Guards against demands or grants that are altered or mixed up between an entry and the leader.
  Scenario: Random renewals and replies are decoded as they were encoded
    Given random renewals with seed 20261204
    Then each demand and each grant is decoded unchanged, except for wanted amounts that are rounded up

  # Guards against a quota that an entry assigns to the wrong budget.
  Scenario: A grant for a demand that was not sent is rejected
    When a reply with a grant for demand 3 reaches an entry that sent 2 demands
    Then decoding fails because "A grant refers to demand 3, but only 2 demands were sent."

  # Guards against a malformed demand that is decoded as a different one.
  Scenario: A malformed demand is rejected
    When a renewal with the unit 9 reaches the leader
    Then decoding fails because "Too big: expected number to be <=2"
