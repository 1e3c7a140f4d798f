Feature: Choice of the backend server of an object

  Background:
    Given regions north and south with 4 backend servers of 6 slots each, in two zones a region

  # Guards against bytes between regions for objects that have room at home.
  Scenario: Objects stay in their region while it has its share of the slots
    Then 100 of 100 objects from north are in north

  # Guards against a region that is pushed past its slots while others have some left.
  Scenario: When a zone is evacuated, objects without room at home go to the other region
    When zone north-a is evacuated
    Then between 50 and 84 of 100 objects from north are in north
    And no object is in zone north-a

  # Guards against objects that move although nothing about their backend server has changed.
  Scenario: A backend server that goes moves its own objects and those without room at home
    When each of 100 objects from north has a backend server
    And backend server north-a-1 goes
    Then objects of other backend servers stay there or leave north, at most 30 of them

  # Guards against backend servers that each see every object and know none.
  Scenario: A busy backend server keeps its objects while they are answered soon
    When all backend servers are idle, and north-a-1 has 13 requests for 6 slots
    Then each object stays with its backend server

  # Guards against refusals while a backend server is idle.
  Scenario: Objects of a backend server that is full go to the next idle one in their order
    When all backend servers have 2 requests for 6 slots, and north-a-1 has 14
    Then each object of north-a-1 goes to the next backend server in its order
    When all backend servers but south-b-2 have 18 requests for 6 slots
    Then each object goes to south-b-2

  # Guards against an overload that lasts because moved requests are slow and displace objects that were known.
  Scenario: Objects of a backend server that is full do not go to busy ones
    When all backend servers have 3 requests for 6 slots, and north-a-1 has 14
    Then there is no room for objects of north-a-1, and the others stay
    When all backend servers have 18 requests for 6 slots
    Then there is no room

  # Guards against an entry that never uses a backend server again, since its last answer came while it was full.
  Scenario: A load that was told long ago keeps no request away
    When all backend servers are idle, and north-a-1 has 20 requests for 6 slots
    Then each object of north-a-1 goes to the next backend server in its order
    When 3100 ms pass without an answer
    Then each object stays with its backend server

  Scenario: A bound route is kept in its home regions
    Then each object from north that is bound to south is in south
