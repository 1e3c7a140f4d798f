Feature: Revisioned publication
  Guards against changes that are lost, partially applied or reverted on their way to a follower.

  Scenario: A long poll returns the changes of the next revision, or an empty delta at its deadline
    Given a publication at revision 3
    When a reader polls after revision 3 for 1000 ms and revision 4 is published after 400 ms
    Then it received the delta from 3 to 4
    When a reader polls after revision 4 for 1000 ms and 1000 ms pass
    Then it received the empty delta at 4

  Scenario: A reader that is ahead of the publication immediately receives its lower revision
    Given a publication at revision 3
    When a reader polls after revision 9 for 1000 ms and 0 ms pass
    Then it received the empty delta at 3

  Scenario: A snapshot is read in bounded chunks of one revision while changes continue
    Given a publication whose history keeps 4 items and whose batches have a target size of 300 bytes
    When 40 items are published and a snapshot is read while further changes are published
    Then the snapshot has several chunks and the items of its first revision

  Scenario: A revision that is not above the current one is rejected
    Given a publication at revision 3
    Then publishing revision 3 is rejected and the state is unchanged

  Scenario: The stream of changes contains each batch in order
    Given a publication at revision 3
    When revisions 4 and 5 are published under two observers, one of which throws
    Then the other observer saw the revisions 4 and 5

  Scenario: A follower changes its upstream when it fails or falls behind
    Given followers of the upstreams "near" and "far"
    When both publish revision 1
    Then the follower holds revision 1 from "near"
    When "near" fails and "far" publishes revision 2
    Then the follower holds revision 2 from "far"
    When "near" recovers with revision 2
    Then the follower holds revision 2 from "near"
    When "near" stops publishing while "far" publishes revision 3
    Then the follower holds revision 3 from "far"

  Scenario: A known later revision makes the follower leave an upstream that is behind
    Takes at most two polls: the one that was open when the revision became known, and one more.
    Given followers of the upstreams "near" and "far"
    When both publish revision 1
    And only "far" publishes revision 2 and the follower learns of it from another source
    Then within 2100 ms the follower holds revision 2

  Scenario: A restarted upstream with a lower revision changes nothing
    Given followers of the upstreams "near" and "far"
    When both publish revision 1
    And both restart with an empty publication
    Then the follower still holds revision 1 after 10 seconds
    And the follower of the follower holds revision 1

  Scenario: Random changes, failures and relays converge on the same state
    Given random publications with seed 3805
    Then the relay follower never goes back and ends in the state of the publisher
