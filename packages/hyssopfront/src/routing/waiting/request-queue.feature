Feature: Requests that are queued for slots

  # The quota allocator leases slots of backend servers to an entry only for demand that the entry has reported.
  Background:
    Given 7 entries with a quota allocator and 6 backend servers of 4 slots that take 200 ms

  # Guards against demand that is never reported because a backend server without slots is skipped.
  Scenario: The first request of an idle entry is served
    When each entry in turn receives its first request after a pause
    Then each request was served within 1500 ms

  # Guards against a first request that waits for a session renewal although slots of its own region are unused.
  Scenario: An idle entry keeps a quota of slots in its own region
    Given 4 entries with a quota allocator and 1 backend server of 4 slots that take 200 ms
    When each entry in turn receives its first request after a pause
    Then each request at entries in the region of the backend servers was served without waiting
    And an entry in that region without floors was among them

  # Guards against slots that idle entries retain, and against an entry whose quota cannot grow.
  Scenario: An entry that receives all traffic uses most of the slots beyond the floors of the others
    When 24 requests are kept queued or running at entry-1 for 2000 ms
    Then entry-1 uses at least 0.9 of the slots that the floors of the other entries leave

  # Guards against slots that are released twice or never, and against two entries that use the same slot.
  Scenario: No slot is used twice, and all slots are free after the load
    When random requests arrive at all entries for 5000 ms, and some of their callers disconnect early
    Then no backend server ran more than 4 requests at the same time
    And some requests were served, some timed out in the queue and some were cancelled
    And every slot is free again

  # Guards against an entry that requests slots of every backend server for each queued request.
  Scenario: The demand for slots follows the traffic
    When all slots that entry-3 holds are in use and 3 more requests are queued
    Then entry-3 requests 3 slots more than it uses
    And entry-3 requests no slots 2500 ms after the last request

  # Guards against one tenant that uses all capacity.
  Scenario: A burst of one tenant starves neither another tenant nor run-once requests
    When tenant "a" sends 200 idempotent requests each second to entry-1 for 4000 ms
    And tenant "b" and run-once requests of tenant "c" arrive every 200 ms meanwhile
    Then each request of tenants "b" and "c" was served
    And some requests of tenant "a" were rejected

  # Guards against an unbounded queue, and against a rejection only after the maximum wait.
  Scenario: A full queue rejects requests immediately
    When 400 requests arrive at entry-1 at the same time
    Then the last requests were rejected immediately

  # Guards against a new request that uses the capacity for which an earlier one is queued.
  Scenario: Requests of one tenant and request class are served in order of arrival
    Given capacity becomes available without notification
    When 40 requests arrive at entry-1, one every 5 ms
    Then they were served in order of arrival

  Scenario: A queued request ends at its deadline
    Given 1 entry with a quota allocator and 1 backend server of 2 slots that take 5000 ms
    When 3 requests with a deadline of 300 ms arrive at entry-1 at the same time
    Then one request ended with "deadlinePassed" after 300 ms

  Scenario: The wait for capacity is bounded
    Given 1 entry with a quota allocator and 1 backend server of 2 slots that take 5000 ms
    When 3 requests with a deadline of 9000 ms arrive at entry-1 at the same time
    Then one request ended with "noRoom" after 1500 ms

  # Guards against a shift whose entries request neither slots at its destination nor quotas of its cap.
  Scenario: A shift reaches its cap although its entries start without slots at its destination
    Given 7 entries with a quota allocator and 14 backend servers of 4 slots that take 200 ms
    And a shift with a cap of 70 requests a second to 8 backend servers in another region
    When entry-1 and entry-2 receive 140 requests a second for 8000 ms
    Then the shift moved at least 0.9 of its cap in the last 4 seconds, and never more than its cap
    And no request was rejected

  # Guards against slots at the destination that entries retain although the shift does not use them.
  Scenario: Slots at the destination of a shift are released when its traffic ends
    Given a shift with a cap of 70 requests a second to 8 backend servers in another region
    When entry-1 and entry-2 receive 140 requests a second for 3000 ms
    Then entry-1 requests no slots 2500 ms after the last request

  # Guards against backend servers that stay unused after a drain because entries without slots of them use others.
  Scenario: Entries without slots of nearby backend servers request them although others have capacity
    Given 7 entries with a quota allocator and 2 backend servers of 3 slots that take 200 ms
    And 4 more backend servers in another region
    When each entry in the region receives 2 requests a second for 4000 ms, while nearby backend servers are drained
    And each receives 2 requests a second for 8000 ms after the drain
    Then at least 0.8 of the requests in the last 4 seconds ran nearby
    And no request was rejected
