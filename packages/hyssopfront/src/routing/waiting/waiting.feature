Feature: Requests that wait for slots

  # The slots of backend servers are leased portions, which an entry gets only for demand that it has told.
  Background:
    Given 7 entries with a grantor and 6 backend servers of 4 slots that take 200 ms

  # Guards against demand that is never told because a backend server without slots is skipped.
  Scenario: The first request of an idle entry is served
    When each entry in turn gets its first request after a pause
    Then each request was served within 1500 ms

  # Guards against a first request that waits for a renewal although slots nearby are unused.
  Scenario: An idle entry keeps slots of its own region ready
    Given 4 entries with a grantor and 1 backend server of 4 slots that take 200 ms
    When each entry in turn gets its first request after a pause
    Then each request at entries in the region of the backend servers was served at once
    And an entry in that region without floors was among them

  # Guards against slots that stay with idle entries, and against an entry that cannot grow beyond its first portion.
  Scenario: All traffic at one entry uses most of the slots that floors leave
    When 24 requests at a time are kept at entry-1 for 2000 ms
    Then entry-1 uses at least 0.9 of the slots that the floors of the other entries leave

  # Guards against slots that are given back twice or never, and against two entries that use the same slot.
  Scenario: No slot is used twice, and every slot is free after the load
    When random requests arrive at all entries for 5000 ms, some of which leave early
    Then no backend server ran more than 4 requests at the same time
    And some requests were served, some waited in vain and some left
    And every slot is free again

  # Guards against an entry that asks for slots of every backend server for each waiting request.
  Scenario: Demand follows the traffic
    When all slots that entry-3 holds are taken and 3 more requests wait
    Then entry-3 wants 3 slots more than it uses
    And entry-3 wants no slots 2500 ms after the last request

  # Guards against one tenant that takes all room.
  Scenario: A surge of one tenant starves neither another tenant nor run-once requests
    When tenant "a" sends 200 idempotent requests each second to entry-1 for 4000 ms
    And tenant "b" and run-once requests of tenant "c" come every 200 ms meanwhile
    Then each request of tenants "b" and "c" was served
    And some requests of tenant "a" were refused

  # Guards against a queue without bound, and against a refusal that comes only after the longest wait.
  Scenario: A full queue refuses at once
    When 400 requests arrive at entry-1 at the same time
    Then the last requests were refused at once

  # Guards against a new request that takes the room for which an earlier one waits.
  Scenario: Requests of one tenant and class are served in their order
    Given room appears without notice
    When 40 requests arrive at entry-1, one every 5 ms
    Then they were served in their order

  Scenario: A waiting request ends at its deadline
    Given 1 entry with a grantor and 1 backend server of 2 slots that take 5000 ms
    When 3 requests with a deadline of 300 ms arrive at entry-1 at the same time
    Then one request ended with "deadlinePassed" after 300 ms

  Scenario: A wait for room is bounded
    Given 1 entry with a grantor and 1 backend server of 2 slots that take 5000 ms
    When 3 requests with a deadline of 9000 ms arrive at entry-1 at the same time
    Then one request ended with "noRoom" after 1500 ms

  # Guards against a shift whose entries never ask for slots at its destination, nor for portions of its cap.
  Scenario: A shift uses its cap although its entries start without slots at its destination
    Given 7 entries with a grantor and 14 backend servers of 4 slots that take 200 ms
    And a shift with a cap of 70 requests a second to 8 backend servers elsewhere
    When entry-1 and entry-2 get 140 requests a second for 8000 ms
    Then the shift moved at least 0.9 of its cap in the last 4 seconds, and never more than its cap
    And no request was refused

  # Guards against slots at the destination that stay with entries whose shift does not use them.
  Scenario: Slots at the destination of a shift go back when its traffic ends
    Given a shift with a cap of 70 requests a second to 8 backend servers elsewhere
    When entry-1 and entry-2 get 140 requests a second for 3000 ms
    Then entry-1 wants no slots 2500 ms after the last request

  # Guards against backend servers that stay out of use after a drain, as entries without slots of theirs send elsewhere.
  Scenario: Entries without slots of nearby backend servers ask for them although others have room
    Given 7 entries with a grantor and 2 backend servers of 3 slots that take 200 ms
    And 4 more backend servers in another region
    When each entry in the region gets 2 requests a second for 4000 ms, while the nearby backend servers are drained
    And each gets 2 requests a second for 8000 ms after the drain
    Then at least 0.8 of the requests in the last 4 seconds ran nearby
    And no request was refused
