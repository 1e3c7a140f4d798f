Feature: Withdrawal of backend servers, drains and the shutdown of entries

  Background:
    Given an entry

  # Guards against new requests to a backend server that withdrew, and against requests that its withdrawal interrupts.
  Scenario: A backend server that withdraws receives no new requests and completes those in flight
    Given 3 backend servers that take 20 ms
    When backend server die-1 withdraws during 200 requests
    Then each request received its own complete response
    And backend server die-1 received no request after its withdrawal

  # Guards against a request that is assigned to a backend server before its withdrawal and written after.
  Scenario: A request is not written after the withdrawal of its backend server
    Given 1 backend server
    When the caller sends a request whose backend server withdraws right after its selection
    Then the caller receives status 503 with outcome not-run and reason no-backend-server
    And no backend server ran a request

  # Guards against new requests to a drained backend server whose own withdrawal is slow.
  Scenario Outline: A declared drain takes effect immediately
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

  # Guards against requests beyond the quota floors of an entry that has lost its view lease.
  Scenario: An entry without a view lease uses only backend servers that announce to it
    Given a backend server die-1 in sibiu-1
    And the entry learned of backend server die-2 from another entry
    And the entry has no view lease
    When the caller sends 10 requests
    Then each request received its own complete response
    And backend server die-2 ran 0 requests

  # Guards against a planned stop of an entry that interrupts requests in flight.
  Scenario: A draining entry completes the requests in flight
    Given 2 backend servers that take 100 ms
    When the entry drains during 4 requests and is killed right after
    Then each request received its own complete response
