Feature: Backend servers and entries that leave

  Background:
    Given an entry

  # Guards against new work for a backend server that withdrew (P6), and against requests cut off by its leaving (P7).
  Scenario: A leaving backend server gets no new work and finishes what it has
    Given 3 backend servers that take 20 ms
    When backend server die-1 leaves in the middle of 200 requests
    Then each request received its own complete response
    And backend server die-1 got no request after it left

  # Guards against a dispatch that was decided before the backend server left and written after (P6).
  Scenario: A request is not written after its backend server left
    Given 1 backend server
    When the caller sends a request whose backend server withdraws right after it was chosen
    Then the caller receives status 503 with outcome not-run and reason no-backend-server
    And no backend server ran a request

  # Guards against new work for a drained backend server when its own withdrawal takes long (P6).
  Scenario Outline: Declared drains take effect at once
    Given a backend server die-1 in sibiu-1
    And a backend server die-2 in pitesti-1
    And a drain of <target> is declared
    When the caller sends 10 requests
    Then each request received its own complete response
    And backend server die-1 ran 0 requests

    Examples:
      | target                 |
      | backend server die-1   |
      | availability zone sibiu-1 |
      | region transilvania    |

  # Guards against work beyond the floor portions of an entry that is cut off.
  Scenario: An entry that is cut off uses only backend servers that announce to it
    Given a backend server die-1 in sibiu-1
    And the entry heard of backend server die-2 from another entry
    And the entry is cut off
    When the caller sends 10 requests
    Then each request received its own complete response
    And backend server die-2 ran 0 requests

  # Guards against a planned stop of an entry that cuts off requests in flight (P7).
  Scenario: A draining entry finishes the requests in flight
    Given 2 backend servers that take 100 ms
    When the entry drains in the middle of 4 requests and is killed right after
    Then each request received its own complete response
