Feature: Overload of a service that has lost some of its backend servers

  Background:
    Given a service of 12 backend servers with 5 slots each, and objects that fit into their caches
    And the first request for an object takes 372 ms, later ones 112 ms, and the latency objective is 250 ms

  # Guards against an overload that outlasts its cause: requests that go to any free slot evict cached objects, and the
  # slow requests after the cache misses keep all backend servers full.
  Scenario Outline: Callers are served in time while the remaining slots suffice for cached objects
    Given <rate> requests arrive each second, and <zones> of 6 zones are evacuated after 2 s
    When 40 s pass
    Then at least 33 percent of the maximum score is reached

    Examples:
      | rate | zones |
      | 163  | 0     |
      | 259  | 0     |
      | 163  | 2     |
      | 163  | 3     |
      | 207  | 2     |
      | 259  | 2     |

  # Guards against rejections when a slow backend server keeps requests that others could serve.
  Scenario: Requests of slow backend servers go to idle ones
    Given 163 requests arrive each second, and 0 of 6 zones are evacuated after 2 s
    And 2 backend servers are 5 times slower between 5 s and 30 s
    When 40 s pass
    Then at least 75 percent of the maximum score is reached

  # Guards against a metastable failure: requests for objects that are not cached time out, so that none gets cached.
  Scenario Outline: A service whose backend servers have lost their caches gets warm again
    Given a service of 24 backend servers with 4 slots each, which 30 entries use with a timeout of 1240 ms
    And the first request for an object takes <first> ms, later ones 330 ms, and the latency objective is 609 ms
    And 152 requests arrive each second, and all caches are lost after 20 s
    When 50 s pass
    Then at least <percent> percent of the requests of the last 10 s get a response

    Examples:
      | first | percent |
      | 700   | 90      |
      | 900   | 50      |
      | 800   | 75      |
