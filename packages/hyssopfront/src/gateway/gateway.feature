Feature: Requests through an entry of the gateway

  Background:
    Given an entry with a route to stoc for idempotent requests and one to orders for others

  Scenario: The response of the backend server is forwarded to the caller
    Given stoc-1 of stoc responds
    When a caller sends a request to stoc
    Then the caller gets 200 with the body and signature of the backend server
    And the backend server got its own id and a shorter deadline than the caller's

  # Guards against a response that is truncated by a reset and taken for a complete one.
  Scenario Outline: A response without a length whose connection is reset is not forwarded
    Given orders-1 of orders <truncates>
    When a caller sends a request to orders
    Then the caller gets 502

    Examples:
      | truncates                                      |
      | resets a response without a length             |
      | resets a response without a length after 20 ms |

  Scenario: A response without a length that ends properly is forwarded
    Given orders-1 of orders ends a response without a length
    When a caller sends a request to orders
    Then the caller gets 200 with the body and signature of the backend server

  # Guards against the response to another request being taken for the response to this one.
  Scenario: A response with the id of another request is not forwarded
    Given orders-1 of orders responds with another id
    When a caller sends a request to orders
    Then the caller gets 502

  # Guards against request smuggling: Node 20.19 on arm64 accepts such names, which the peer may parse differently.
  Scenario Outline: A request with an invalid header name is rejected and its connection closed
    Given stoc-1 of stoc responds
    When a caller sends the header "<header>" to stoc
    Then its raw response has status 400 and the connection is closed
    And the backend servers got 0 requests

    Examples:
      | header                     |
      | bad name: x                |
      | X-Y : 1                    |
      | Transfer Encoding: chunked |

  Scenario Outline: A response with an invalid header name is not forwarded
    Given orders-1 of orders <responds>
    When a caller sends a request to orders
    Then the caller gets 502

    Examples:
      | responds                                   |
      | responds with the header bad name          |
      | responds with the header X-Y and a space   |
      | responds with the header Transfer Encoding |

  # Guards against responses that do not come from a backend server.
  Scenario: A successful response without a signature is not forwarded
    Given orders-1 of orders responds without a signature
    When a caller sends a request to orders
    Then the caller gets 502

  # Guards against an entry that reads from a faulty backend server until its memory or CPU is exhausted.
  Scenario Outline: The connection of an endless invalid response is closed
    Given orders-1 of orders <sends>
    When a caller sends a request to orders and gets <result>
    Then the connection to orders-1 is closed within <milliseconds> ms after at most <mebibytes> MiB

    Examples:
      | sends                                     | result | milliseconds | mebibytes |
      | sends an endless head                     | 502    | 500          | 8         |
      | sends an endless header                   | 502    | 500          | 8         |
      | sends an endless invalid response         | 502    | 500          | 8         |
      | sends endless informational responses     | 502    | 500          | 8         |
      | sends an endless unsigned body            | 502    | 500          | 8         |
      | sends an endless rejection                | 503    | 500          | 8         |
      | sends endless empty lines                 | 502    | 500          | 8         |
      | sends endless spaces before a value       | 502    | 500          | 8         |
      | sends an endless chunk extension          | 502    | 500          | 8         |
      | sends endless extensions of chunks        | 502    | 500          | 8         |
      | sends a rejection with endless extensions | 503    | 500          | 8         |

  # Guards against an endless response that keeps the caller waiting beyond the timeout of the route.
  Scenario Outline: An endless response is truncated at the timeout of the route
    Given orders-1 of orders <sends>
    When a caller sends a request to orders and gets a truncated response
    Then the connection to orders-1 is closed within 300 ms

    Examples:
      | sends                           |
      | sends an endless signed body    |
      | sends an endless error response |

  # Guards against an order that is run twice.
  Scenario: A request that is not idempotent is sent once when its connection is reset
    Given orders-1 of orders resets the connection
    And orders-2 of orders resets the connection
    When a caller sends a request to orders
    Then the caller gets 502
    And the backend servers got 1 request

  Scenario: An idempotent request is retried on another backend server when its connection is reset
    Given stoc-1 of stoc resets the connection
    And stoc-2 of stoc responds
    When a caller sends a request to stoc 8 times
    Then each caller gets 200

  # Guards against orders that fail although the backend server has declared that it did not run them.
  Scenario: A request that was rejected is retried on another backend server
    Given orders-1 of orders rejects the request
    And orders-2 of orders responds
    When a caller sends a request to orders 4 times
    Then each caller gets 200

  # Guards against a response that invites a retry of a request that may have run.
  Scenario: A caller is invited to retry only if its request certainly has not run
    Given orders-1 of orders rejects the request
    When a caller sends a request to orders
    Then the caller gets 503 with the time after which to retry
    Given orders-2 of orders resets the connection
    When a caller sends a request to orders
    Then the caller gets 502

  # Guards against a request that may have run and that its caller repeats: a faulty backend server has written an earlier
  # rejection once more.
  Scenario: A rejection without an id on a reused connection does not prove that the request has not run
    Given orders-1 of orders responds once and then rejects without an id
    When a caller sends a request to orders
    Then the caller gets 200 with the body and signature of the backend server
    When a caller sends a request to orders
    Then the caller gets 502

  Scenario: A rejection without an id on a new connection is forwarded, and the connection is not reused
    Given orders-1 of orders rejects without an id
    When a caller sends a request to orders 2 times
    Then each caller gets 503

  Scenario: A late copy of an earlier rejection is not taken for the response to the next request
    Given orders-1 of orders writes each rejection again before the next response
    When a caller sends a request to orders
    Then the caller gets 503 with the time after which to retry
    When a caller sends a request to orders
    Then the caller gets 502

  # Guards against a caller that gets the response to the request of another one.
  Scenario Outline: A second copy of a response on a reused connection reaches no caller
    Given orders-1 of orders <writes>
    When a caller sends a request to orders 6 times
    Then each caller gets 200 with its own id, or 502
    And at least 1 caller gets 200

    Examples:
      | writes                                              |
      | writes each response again before the next one      |
      | writes each response again behind the next one      |
      | writes each response twice in one segment           |
      | writes each response again after 20 ms              |
      | writes half of a second copy with each response     |
      | writes each response again without its id           |
      | writes each response again with an informational one |

  Scenario Outline: A status that promises that a request has not run is not forwarded without proof
    Given orders-1 of orders <responds>
    When a caller sends a request to orders
    Then the caller gets 502

    Examples:
      | responds                              |
      | responds 503 and may have run it      |
      | responds 429 and may have run it      |

  # Guards against requests to a backend server that is about to exit.
  Scenario Outline: A backend server whose response says that it is leaving gets no more requests
    Given stoc-1 of stoc <responds>
    And stoc-2 of stoc responds
    When a caller sends a request to stoc 8 times
    Then each caller gets 200
    And stoc-1 got at most 1 request
    When stoc-1 announces itself again
    And a caller sends a request to stoc 8 times
    Then stoc-1 got at most 1 request

    Examples:
      | responds                                       |
      | responds and says that it is leaving           |
      | rejects the request and says that it is leaving |
      | fails and says that it is leaving              |

  Scenario: A later incarnation of a backend server that has left gets requests
    Given stoc-1 of stoc responds and says that it is leaving
    When a caller sends a request to stoc
    And a caller sends a request to stoc
    Then the caller gets 503 with the time after which to retry
    When stoc-1 restarts
    And a caller sends a request to stoc
    Then the caller gets 200 with the body and signature of the backend server

  # Guards against requests to a backend server that has asked for a pause.
  Scenario: A backend server that asks for a pause gets no requests until it ends
    Given orders-1 of orders rejects requests and asks for a pause of 0.7 s
    And orders-2 of orders responds
    When a caller sends a request to orders 12 times
    Then each caller gets 200
    And orders-1 got at most 1 request
    When 800 ms pass
    And a caller sends a request to orders 12 times
    Then orders-1 got at least 2 requests

  Scenario: Callers are told when the first pause ends if all backend servers have asked for one
    Given orders-1 of orders rejects requests and asks for a pause of 20 s
    When a caller sends a request to orders
    And a caller sends a request to orders
    Then the caller gets 503 with between 19 and 21 s after which to retry
    And the backend servers got 1 request

  # Guards against a faulty backend server that excludes itself for hours, or at dates by its own clock.
  Scenario Outline: A pause is accepted as a positive number of seconds and limited to 5 minutes
    Then the pause "<value>" is <milliseconds> ms

    Examples:
      | value                         | milliseconds |
      | 2                             | 2000         |
      | 0.25                          | 250          |
      | 99999999999                   | 300000       |
      | 0                             | no           |
      | -3                            | no           |
      | 1e9                           | no           |
      | NaN                           | no           |
      | soon                          | no           |
      | Wed, 21 Oct 2026 07:28:00 GMT | no           |

  # Guards against requests to an address that now belongs to another backend server.
  Scenario: A backend server that was replaced at its address gets no more requests
    Given orders-1 of orders is another backend server
    And orders-2 of orders responds
    When a caller sends a request to orders 6 times
    Then each caller gets 200
    And orders-1 got at most 1 request

  # Guards against requests that keep the caller waiting beyond the timeout of the route.
  Scenario: A caller gets a response at the timeout of the route
    Given stoc-1 of stoc does not respond
    When a caller sends a request to stoc
    Then the caller gets 504 after 1000 ms

  # Guards against an overload that keeps itself going, because all requests time out and are repeated.
  Scenario: Requests are rejected at once while most of them time out
    Given stoc-1 of stoc does not respond
    When 9 callers send requests to stoc at once
    Then each caller gets 504
    When 9 callers send requests to stoc at once
    Then at least 1 caller gets 503
    And the log has a request that ended as throttled within 50 ms

  # Guards against work for callers that have disconnected.
  Scenario: The request of a caller that disconnects is cancelled
    Given orders-1 of orders does not respond
    When a caller sends a request to orders and disconnects after 100 ms
    Then the connection to orders-1 is closed within 300 ms

  # Guards against work that is given up or started again because a backend server is silent, leaves or is replaced.
  Scenario Outline: A running request ends where it runs when its backend server <event>
    Given orders-1 of orders responds after 400 ms
    When a caller sends a request to orders, and after 100 ms orders-1 <event>
    And orders-2 of orders responds
    Then the caller gets 200 with the body and signature of the backend server
    And orders-1 got at most 1 request
    And orders-2 got at most 0 requests

    Examples:
      | event                     |
      | is silent                 |
      | announces that it drains  |
      | restarts                  |
      | leaves its service        |

  Scenario: A draining backend server gets no more requests
    Given stoc-1 of stoc responds
    And stoc-2 of stoc responds
    When stoc-1 announces that it is draining
    And a caller sends a request to stoc 8 times
    Then each caller gets 200
    And stoc-1 got at most 0 requests

  # Guards against an entry that stops following a feed because one value in it cannot be applied.
  Scenario Outline: A value of the feed that cannot be applied does not keep the others from being applied
    When the feed has a backend server with <fault>
    And stoc-1 of stoc responds
    When a caller sends a request to stoc
    Then the caller gets 200 with the body and signature of the backend server
    And the log names the value that was not applied

    Examples:
      | fault                |
      | port 99999           |
      | port 1e300           |
      | slots as text        |
      | fields nested deeply |
      | bytes that are no record |

  # Guards against requests to an availability zone that operators have evacuated.
  Scenario: A backend server in an evacuated zone gets no requests
    Given stoc-1 of stoc responds
    When the zone of the backend servers is evacuated
    And a caller sends a request to stoc
    Then the caller gets 503 with the time after which to retry
    When the evacuation ends
    And a caller sends a request to stoc
    Then the caller gets 200 with the body and signature of the backend server

  # Guards against the overload of a cold backend server.
  Scenario: A cold backend server gets no more requests than its slow start allows
    Given stoc-1 of stoc responds and is cold
    When 30 callers send requests to stoc at once
    Then stoc-1 got at most 5 requests

  # Guards against slots that are filled with slow first requests for one object.
  Scenario: Requests for an object wait for the first one
    Given stoc-1 of stoc responds after 100 ms
    When 5 callers send requests to stoc for the same object at once
    Then 1 request reaches the backend server in the first 60 ms
    And each caller gets 200

  # Guards against a caller that acts for another account, and against keys that reach backend servers.
  Scenario: The backend server gets the account of the key and not the key
    Given stoc-1 of stoc responds
    And the client account shop with the key k1
    When a caller sends a request to stoc with the credentials "Bearer k1" and claims to be bank
    Then the caller gets 200 with the body and signature of the backend server
    And stoc-1 got a request of the account shop without its key

  Scenario Outline: Requests without a known key are rejected once there are client accounts
    Given stoc-1 of stoc responds
    And the client account shop with the key k1
    When a caller sends a request to stoc with the credentials "<credentials>" and claims to be shop
    Then the caller gets 401
    And the backend servers got 0 requests

    Examples:
      | credentials |
      |             |
      | Bearer k2   |

  # Guards against changed headers in deployments that have no client accounts.
  Scenario: Without client accounts the headers of callers are forwarded
    Given stoc-1 of stoc responds
    When a caller sends a request to stoc with the credentials "Basic xyz" and claims to be bank
    Then the caller gets 200 with the body and signature of the backend server
    And stoc-1 got the credentials "Basic xyz" and the claim bank

  # Guards against 404 for routes that are about to be set when a deployment starts.
  Scenario: A complete catalog without any item gets 503
    Given an entry that has read an empty catalog
    When a caller sends a request to stoc
    Then the caller gets 503

  Scenario: A request without a matching route gets 404, or 503 before the catalog is complete
    When a caller sends a request to nothing
    Then the caller gets 404
    Given an entry that has no catalog
    When a caller sends a request to nothing
    Then the caller gets 503 with the time after which to retry

  # Guards against requests that are aborted by a planned stop.
  Scenario: A stop waits for in-flight requests
    Given stoc-1 of stoc responds after 400 ms
    When a caller sends a request to stoc and the entry stops
    Then the entry is not ready
    And each caller gets 200
    And the entry has stopped within 1000 ms

  # Guards against forwarding requests whose callers disconnected while the event loop was blocked.
  Scenario: The lag is still known when connections are read after the event loop was busy
    When the event loop is busy for 200 ms
    Then requests read after it have a measured delay of at least 140 ms
    And after 120 ms they have a measured delay of less than 50 ms

  # Guards against failed requests whose cause on-call engineers cannot find in the log.
  Scenario Outline: Each failed request is logged with its id and outcome
    Given orders-1 of orders <behavior>
    When a caller sends a request to orders
    Then the log says that the request ended as <outcome> and what orders-1 did

    Examples:
      | behavior              | outcome   |
      | resets the connection | failed    |
      | rejects the request   | refused   |
      | does not respond      | timed-out |

  Scenario: A request without any backend server is logged with its id
    When a caller sends a request to orders
    Then the log says that the request ended as no-server

  # Guards against forwarding requests whose callers disconnected while their connections waited to be accepted: each
  # turn of the event loop accepts one connection, so they wait although the event loop has no lag.
  Scenario: Requests of callers that disconnect before their connections are accepted are not forwarded
    Given stoc-1 of stoc responds after 400 ms
    And each turn of the event loop takes 5 ms
    When 80 callers of another process send requests to stoc at once and disconnect after 150 ms
    Then no request reaches a backend server later than 100 ms after they disconnected

  # Guards against an overloaded entry that works only for callers that are about to time out, and against callers who
  # cannot know whether their request has run, as their connection is closed unread.
  Scenario: Requests that have waited too long to be accepted are rejected, and later callers are served
    Given stoc-1 of stoc responds
    And each turn of the event loop takes 5 ms
    When 100 callers of another process send requests to unknown at once and disconnect after 1500 ms
    Then at least 10 of them get 503, all others get 404 within 400 ms, and no connection is closed unread
    When a caller sends a request to stoc
    Then the caller gets 200 with the body and signature of the backend server

  # Guards against requests on kept connections that are cut off by a planned stop.
  Scenario: A stop under load cuts off no request that reached a backend server
    Given an entry that may take 2000 ms to stop
    And stoc-1 of stoc responds after 20 ms
    And stoc-2 of stoc responds after 20 ms
    When 60 callers keep sending requests to stoc on kept connections, and the entry stops after 200 responses
    Then at least 1 response arrived during the stop, and no request that reached a backend server got none

  # Guards against a process that exits before it has read the first request of an accepted connection.
  Scenario: A stop waits for the request of a recently accepted connection
    Given an entry that may take 4000 ms to stop
    And stoc-1 of stoc responds after 100 ms
    When a caller connects 2330 ms into the stop of the entry and sends a request to stoc 120 ms later
    Then the caller gets 200 with the body and signature of the backend server
    And the entry stopped after the response

  # Guards against orders that are forwarded late in a stop and cut off at its end, so that callers cannot know whether
  # they have run.
  Scenario: A stopping entry rejects a request whose deadline is later than the end of the stop
    Given an entry that may take 2000 ms to stop
    And orders-1 of orders does not respond
    When a caller connects 1000 ms into the stop of the entry and sends a request to orders 120 ms later
    Then the caller gets 503 with the time after which to retry
    And the backend servers got 0 requests

  # Guards against a request that was forwarded in time, is rejected late in a stop, and is cut off on its second attempt.
  Scenario: A stopping entry does not retry a request that it cannot wait for
    Given orders-1 of orders rejects the request after 400 ms
    And orders-2 of orders rejects the request after 400 ms
    When a caller sends a request to orders and the entry stops
    Then the caller gets 503 with the time after which to retry
    And the backend servers got 1 request

  Scenario Outline: A stopping entry forwards a request if it can wait for the response
    Given the stop of an entry with 5600 ms for requests
    Then a request that may take <longest> ms on a route with an objective of <objective> ms is <result> after <time> ms

    Examples:
      | longest | objective | time | result    |
      | 2500    | 400       | 3000 | forwarded |
      | 2500    | 400       | 3200 | rejected  |
      | 1200    | 200       | 4300 | forwarded |
      | 10000   | 650       | 2400 | forwarded |
      | 10000   | 650       | 2600 | rejected  |
      | 10000   | 1200      | 500  | forwarded |
      | 10000   | 1200      | 1000 | rejected  |

  # Guards against responses that a stop cuts off because they have been handed to their connection but not sent yet.
  Scenario: A stop sends all responses to a caller that reads slowly
    Given an entry that may take 3000 ms to stop
    And stoc-1 of stoc responds with 250000 bytes
    When a caller sends requests to stoc until its connection is full and reads the responses 2200 ms into the stop
    Then it gets all responses with 250000 bytes each

  # Guards against a request that a stop cuts off because its connection was taken for idle after the response before it.
  Scenario: A stop waits for a request that was sent before the response to the one before it
    Given an entry that may take 4000 ms to stop
    And requests to orders may take 5000 ms
    And stoc-1 of stoc responds after 400 ms
    And orders-1 of orders responds after 3200 ms
    When a caller sends requests to stoc and orders at once and the entry stops
    Then the caller gets 2 responses

  # Guards against requests that the exit of the process cuts off, because the stop began later than its time.
  Scenario: The time that has passed since a stop was requested counts towards it
    Given an entry that may take 2500 ms to stop
    When the entry begins its stop 1500 ms after it was requested
    Then it has stopped within 1000 ms

  # Guards against requests that are read on a connection that became idle at the end of a stop, and end with the process.
  Scenario: No connection of a caller is open when the entry has stopped
    Given an entry that may take 3000 ms to stop
    And requests to orders may take 5000 ms
    And orders-1 of orders begins a long response and ends it after 2200 ms
    When a caller gets the beginning of the response from orders and the entry stops
    Then the caller gets the whole response, and its connection is closed once the entry has stopped

  # Guards against requests in progress that end because the operators lower a limit.
  Scenario Outline: A change of the limits cuts off no request in progress
    Given requests to orders may take 5000 ms
    And orders-1 of orders <behavior>
    When a caller <calls> and after 100 ms all limits are lowered
    Then the caller gets the whole response

    Examples:
      | behavior                                           | calls                                       |
      | begins a long response and ends it after 2200 ms   | sends a request to orders                   |
      | reads a body of 3000000 bytes and responds         | sends 3000000 bytes to orders within 1500 ms |
      | reads a body of 900000 bytes and responds          | sends 900000 bytes to orders within 1500 ms |

  # Guards against requests that are never answered, because the rest of an earlier body is left on their connection.
  Scenario Outline: The request after a long one that was answered early is answered
    Given orders-1 of orders <behavior>
    And the limit of bodies is <limit> bytes
    When a caller sends <bytes> bytes to orders within 300 ms and then a short request on the same connection
    Then it gets <status> and 200

    Examples:
      | behavior                                           | limit    | bytes   | status |
      | rejects long requests unread and responds to others | 10000000 | 1500000 | 503    |
      | responds to long requests unread and to others     | 10000000 | 1500000 | 200    |
      | responds to long requests unread and to others     | 1000     | 300000  | 413    |

  # Guards against an early response that is lost, because its connection is reset while the caller still sends.
  Scenario: A stopping entry closes the connection of a long request that was answered early after its body
    Given an entry that may take 2000 ms to stop
    And orders-1 of orders rejects long requests unread and responds to others
    When a caller sends 1500000 bytes to orders within 600 ms and the entry stops
    Then it gets 503, and its connection is closed without a reset

  # Guards against a long body that is complete too late in a stop, so that the request is cut off while it runs.
  Scenario: A stopping entry does not forward the end of a long body if it cannot wait for the response
    Given an entry that may take 4500 ms to stop
    And requests to orders may take 10000 ms
    And orders-1 of orders does not respond
    When a caller sends 3000000 bytes to orders within 3600 ms and the entry stops
    Then it gets 502, and its connection is closed without a reset
    And the backend server got only a part of the body

  # Guards against an early response that a stopping entry breaks off, because the rest of the body arrives late.
  Scenario: A stopping entry sends the whole of a response that began before the body was complete
    Given an entry that may take 4500 ms to stop
    And requests to orders may take 10000 ms
    And orders-1 of orders begins a long response and ends it after 3200 ms
    When a caller sends 3000000 bytes to orders within 3600 ms and the entry stops
    Then the caller gets the whole response

  # Guards against connections that are kept for bodies that never end.
  Scenario: The connection of a request that was answered early is closed if its body does not end
    Given orders-1 of orders rejects long requests unread and responds to others
    When a caller sends only the beginning of a request with 1500000 bytes to orders
    Then it gets 503, and its connection is closed within 3500 ms
