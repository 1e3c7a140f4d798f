Feature: Pipelined requests

  Background:
    Given an entry that starts 8 requests of a connection at once and holds 200 pipelined requests
    And a backend server

  # Guards against a caller that takes the response to one request for that to another one.
  Scenario: Responses come in the order of the requests
    When a caller pipelines requests for wait-300, now, long, wait-100 and now
    Then it gets 200, 200, 200, 200 and 200 for them in this order

  # Guards against requests that run although their caller cannot get a response, and against a response to a later
  # request that comes first and is taken for the one to an earlier request, which has run.
  Scenario Outline: The response to an earlier request comes before that to <fault>, and nothing behind it is forwarded
    When a caller pipelines requests for wait-300, <fault> and now
    Then it gets <statuses> for them in this order
    And its connection is closed
    And the backend server got 1 request

    Examples:
      | fault                                  | statuses    |
      | a request with an invalid header name  | 200 and 400 |
      | a request without a host               | 200 and 400 |
      | a request that cannot be parsed        | 200 and 400 |
      | a request with too large headers       | 200 and 431 |

  Scenario: Nothing behind a request that asks for the connection to be closed is forwarded
    When a caller pipelines requests for close-300 and now
    Then it gets 200 for them in this order
    And its connection is closed
    And the backend server got 1 request

  Scenario: The body of a request that is too long is not taken for a request
    Given the limit of bodies is 1000 bytes
    When a caller pipelines requests for wait-300, a body of 2000 bytes that holds requests and now
    Then it gets 200, 413 and 200 for them in this order
    And the backend server got 2 requests

  # Guards against 408, which says that a request has not run, as the response to an earlier request that has run.
  Scenario: The head of a request that does not arrive in time gets 408 behind the response to the earlier request
    Given a server that gives requests 100 ms for their heads and responds after 600 ms
    When a caller sends a request and a part of the next one to it
    Then it gets 200 and 408 for them in this order
    And its connection is closed

  Scenario: Requests behind a response that breaks off are not forwarded
    When a caller pipelines 20 requests, of which the first is for broken-300 and the others for wait-3000
    Then its connection is closed
    And the backend server got 8 requests

  # Guards against requests that run although a stopping entry closes their connection after the response before them.
  Scenario: A request behind a response that closes the connection of a stopping entry is not forwarded
    When the entry stops and a caller sends a request for slow-long-600 and 300 ms later one for now
    Then it gets 200 for them in this order
    And its connection is closed
    And the backend server got 1 request

  # Guards against a connection that takes all connections to backend servers.
  Scenario: Only some of the requests of a connection are in progress at once
    When a caller pipelines 100 requests for wait-20
    Then it gets 100 responses in the order of the requests
    And the backend server had at most 8 requests at once

  # Guards against a process that exceeds the memory of its instance, because a caller sends requests without end.
  Scenario: Requests are read on only when earlier ones have ended
    When a caller pipelines requests for never without end
    Then the entry reads at most 12000000 bytes of them
    And another caller that sends a request for now gets 200

  Scenario: A caller that fills the memory for pipelined requests with others is cut off
    When a caller pipelines 10 requests for wait-600
    And 4 other callers pipeline 60 requests for never each
    Then at least 1 of the other callers is cut off, and at least 2 are not
    And the metric callers_cut_off with the reason pipelining is at least 1
    And it gets 10 responses in the order of the requests

  # Guards against requests that run on, and a stop that waits for them, although nobody can get their responses.
  Scenario Outline: Requests end with their connection
    When a caller pipelines <count> requests for wait-400
    And it disconnects after 100 ms
    Then no request is open within <time> ms

    # A connection that is not read on is found closed when the first response is written.
    Examples:
      | count | time |
      | 6     | 150  |
      | 20    | 1000 |
