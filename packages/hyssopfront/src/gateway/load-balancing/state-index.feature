Feature: Indexes of the state that an entry follows

  # Guards against an index that differs from the records after servers come, go, move and restart.
  Scenario Outline: The usable backend servers of each service are those of the newest records
    When 600 random records of 40 backend servers are merged, with seed <seed>
    Then each service has the backend servers whose newest record is ready

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a rejection, by each entry, for each address that another backend server has taken over.
  Scenario Outline: A backend server whose address a later one has announced is not used unless the later one is not there
    When <first> and then <second> is announced at the same address
    Then stoc has no backend server and orders has new-1
    When new-1 turns out not to be there
    Then stoc has old-1 and orders has none

    Examples:
      | first                          | second                         |
      | old-1 of stoc, started at 1000 | new-1 of orders, started at 5000 |
      | new-1 of orders, started at 5000 | old-1 of stoc, started at 1000 |

  # Guards against a stall of the event loop when an entry starts, or when many servers change.
  Scenario: The first records of thousands of backend servers take little CPU time
    When 2400 backend servers of 5 services are merged in batches of 200
    Then no batch took more than 50 ms of CPU time

  Scenario: The route with the longest prefix of the path is found, also after it has moved or was removed
    Given routes a to /, b to /shop/ and c to /shop/orders/
    Then /shop/orders/1 goes to c, /shop/orders to b and /other to a
    When route c moves to /moved/
    Then /shop/orders/1 goes to b, /moved/x to c and /moved to a
    When route b is removed
    Then /shop/orders/1 goes to a, /shop/ to a and /moved/ to c
    When route a is removed
    Then /shop/1 goes to nothing, /moved/1 to c and / to nothing

  # Guards against a lookup whose cost grows with the number of routes.
  Scenario: Finding a route takes little CPU time among thousands
    Given 5000 routes of one host
    When 20000 paths are looked up
    Then the lookups took at most 500 ms of CPU time

  # Guards against a path that blocks the event loop.
  Scenario: Finding a route for a path of many slashes takes little CPU time
    Given 5000 routes of one host
    When 100 paths of 16000 slashes are looked up
    Then the lookups took at most 100 ms of CPU time
