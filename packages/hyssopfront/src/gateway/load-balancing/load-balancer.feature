Feature: Load balancing with affinity of objects to backend servers

  Background:
    Given regions north and south with 4 backend servers of 6 slots each, in two zones a region

  # Guards against traffic between regions for objects that their own region has capacity for.
  Scenario: Objects stay in their region while it has its share of the slots
    Then 100 of 100 objects from north are in north

  # Guards against the overload of a region while others have spare slots.
  Scenario: When a zone is evacuated, objects beyond the capacity of their region go to the other region
    When zone north-a is evacuated
    Then between 50 and 84 of 100 objects from north are in north
    And no object is in zone north-a

  # Guards against backend servers that get more objects than others, and against pairs that get the same objects.
  Scenario: Objects are spread evenly, and those of one backend server evenly over the others that would take them
    Then each of 4 backend servers in north has between 2300 and 2700 of 10000 objects from north
    And their second choices are spread evenly, between 700 and 970 for each pair

  # Guards against objects that move although their backend server has not changed.
  Scenario: When a backend server leaves, its objects move and those beyond the capacity of their region
    When each of 100 objects from north has a backend server
    And backend server north-a-1 leaves
    Then objects of other backend servers stay or move out of north, at most 30 of them

  # Guards against cache misses because each backend server gets requests for all objects.
  Scenario: A busy backend server keeps its objects while its queue is short
    When all other backend servers are idle, and north-a-1 has 13 requests
    Then each object stays with its backend server

  # Guards against rejections while a backend server is idle.
  Scenario: Objects of a full backend server go to the next idle one in their ranking
    When all other backend servers have 2 requests for 6 slots, and north-a-1 has 14 requests
    Then each object of north-a-1 goes to the next backend server in its ranking
    When all backend servers but south-b-2 have 18 requests for 6 slots
    Then each object goes to south-b-2

  # Guards against an overload that persists because moved requests miss the cache and evict other objects.
  Scenario: Objects of a full backend server do not go to busy ones
    When all other backend servers have 3 requests for 6 slots, and north-a-1 has 14 requests
    Then there is no capacity for objects of north-a-1, and the others stay
    When all backend servers have 18 requests for 6 slots
    Then there is no capacity

  # Guards against requests that move to a backend server which other entries keep full.
  Scenario: Objects of a full backend server do not go to one whose load was not reported lately
    When only north-a-1 reports its load, which is 14 requests
    Then there is no capacity for objects of north-a-1, and the others stay

  Scenario: If no backend server reports its load, objects of a full one go to the next in their ranking
    When no backend server reports its load, and this entry has 14 requests at north-a-1
    Then each object of north-a-1 goes to the next backend server in its ranking

  # Guards against an entry that never uses a backend server again because it was full at its last response.
  Scenario: A load that was reported long ago is ignored
    When all other backend servers are idle, and north-a-1 has 20 requests
    Then each object of north-a-1 goes to the next backend server in its ranking
    When 3100 ms pass without a response
    Then each object stays with its backend server

  Scenario: A route with home regions is served only there
    Then each object from north whose home region is south is in south

  # Guards against a selection that changes for deployments without priority admission. The choices are those of the load
  # balancer before there was a headroom.
  Scenario: Without a headroom, backend servers are selected as before
    When the backend servers report 14, 2, 13, 6, 1, 20, 13 and 5 requests
    Then the first 16 objects go to these backend servers
      | north-b-1 | north-b-1 | north-a-2 | north-a-2 | north-a-2 | north-a-2 | north-b-1 | north-a-2 |
      | north-a-2 | north-a-2 | north-b-1 | north-b-1 | north-b-2 | north-a-2 | north-a-2 | north-a-2 |

  # Guards against less urgent requests that queue before urgent ones, or evict cached objects elsewhere.
  Scenario: With a headroom, a full backend server is not selected, and no other one in its place
    When all other backend servers are idle, and north-a-1 has 6 requests
    And requests leave a headroom, so that at most 1.0 requests a slot run
    Then there is no capacity for objects of north-a-1, and the others stay

  # Guards against a selection without ranking that sends an object to another backend server than the ranking does.
  Scenario: The first backend server of an object is the one that is ranked first
    Then the first of up to 20 random candidates is the same as in the ranking, with seed 7
