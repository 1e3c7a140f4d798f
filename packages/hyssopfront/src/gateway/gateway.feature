Feature: Requests through an entry of the gateway

  Background:
    Given an entry with a route to stoc for repeatable requests and one to orders for others

  Scenario: A request is answered as the backend server answers it
    Given stoc-1 of stoc answers
    When a caller asks stoc
    Then the caller gets 200 with the backend server's own body and signature
    And the backend server was told its id and less time than the caller has

  # Guards against an answer that was cut by a reset and passes for whole.
  Scenario Outline: An answer without a length that is reset is not delivered
    Given orders-1 of orders <breaks>
    When a caller asks orders
    Then the caller gets 502

    Examples:
      | breaks                                        |
      | resets an answer without a length             |
      | resets an answer without a length after 20 ms |

  Scenario: An answer without a length that ends in order is delivered
    Given orders-1 of orders ends an answer without a length
    When a caller asks orders
    Then the caller gets 200 with the backend server's own body and signature

  # Guards against an answer to another request that passes for the answer to this one.
  Scenario: An answer with another request's id is not delivered
    Given orders-1 of orders answers with another id
    When a caller asks orders
    Then the caller gets 502

  # Guards against framing that the entry and its peer read differently; Node 20.19 on arm64 parses such names.
  Scenario Outline: A request with an invalid header name is rejected and its connection closed
    Given stoc-1 of stoc answers
    When a caller sends the header "<header>" to stoc
    Then its raw response has status 400 and the connection is closed
    And the backend servers got 0 requests

    Examples:
      | header                     |
      | bad name: x                |
      | X-Y : 1                    |
      | Transfer Encoding: chunked |

  Scenario Outline: An answer with an invalid header name is not delivered
    Given orders-1 of orders <answers>
    When a caller asks orders
    Then the caller gets 502

    Examples:
      | answers                                        |
      | answers with the header bad name               |
      | answers with the header X-Y and a space        |
      | answers with the header Transfer Encoding      |

  # Guards against bytes that no backend server has signed.
  Scenario: A success without a signature is not delivered
    Given orders-1 of orders answers without a signature
    When a caller asks orders
    Then the caller gets 502

  # Guards against an entry that reads bytes of a broken backend server until its memory or processor is used up.
  Scenario Outline: Bytes without end are not read on
    Given orders-1 of orders <sends>
    When a caller asks orders and gets <result>
    Then the connection to orders-1 is closed within <milliseconds> ms after at most <mebibytes> MiB

    Examples:
      | sends                                   | result       | milliseconds | mebibytes |
      | sends a head without end                | 502          | 500          | 8         |
      | sends one header without end            | 502          | 500          | 8         |
      | sends no answer without end             | 502          | 500          | 8         |
      | sends informational answers without end | 502          | 500          | 8         |
      | sends an unsigned body without end      | 502          | 500          | 8         |
      | sends a refusal without end             | 503          | 500          | 8         |

  # Guards against an endless answer that holds the caller beyond the timeout of the route.
  Scenario Outline: A long answer is cut at the timeout of the route
    Given orders-1 of orders <sends>
    When a caller asks orders and gets a cut answer
    Then the connection to orders-1 is closed within 300 ms

    Examples:
      | sends                           |
      | sends a signed body without end |
      | sends a failure without end     |

  # Guards against an order that runs twice.
  Scenario: A request that must not run twice is sent once when its connection is reset
    Given orders-1 of orders resets
    And orders-2 of orders resets
    When a caller asks orders
    Then the caller gets 502
    And the backend servers got 1 request

  Scenario: A repeatable request is sent to another backend server when its connection is reset
    Given stoc-1 of stoc resets
    And stoc-2 of stoc answers
    When a caller asks stoc 8 times
    Then each caller gets 200

  # Guards against orders that fail although a backend server has said that it did not run them.
  Scenario: A request that was not run is sent to another backend server
    Given orders-1 of orders refuses
    And orders-2 of orders answers
    When a caller asks orders 4 times
    Then each caller gets 200

  # Guards against a promise that a request has not run although it has.
  Scenario: A caller is told that its request has not run only when that is certain
    Given orders-1 of orders refuses
    When a caller asks orders
    Then the caller gets 503 and is told when to come back
    Given orders-2 of orders resets
    When a caller asks orders
    Then the caller gets 502

  # Guards against requests to an address that another backend server has taken over.
  Scenario: A backend server that was replaced at its address gets nothing more
    Given orders-1 of orders is another backend server
    And orders-2 of orders answers
    When a caller asks orders 6 times
    Then each caller gets 200
    And orders-1 got at most 1 request

  # Guards against requests that hold the caller beyond the timeout of the route.
  Scenario: A request is answered at the timeout of its route
    Given stoc-1 of stoc falls silent
    When a caller asks stoc
    Then the caller gets 504 after 1000 ms

  # Guards against work for callers that have left.
  Scenario: The request of a caller that leaves is cancelled
    Given orders-1 of orders falls silent
    When a caller asks orders and leaves after 100 ms
    Then the connection to orders-1 is closed within 300 ms

  Scenario: A backend server that drains gets nothing more
    Given stoc-1 of stoc answers
    And stoc-2 of stoc answers
    When stoc-1 announces that it drains
    And a caller asks stoc 8 times
    Then each caller gets 200
    And stoc-1 got at most 0 requests

  # Guards against work for a place that operators have emptied.
  Scenario: A backend server in an evacuated zone gets nothing
    Given stoc-1 of stoc answers
    When the zone of the backend servers is evacuated
    And a caller asks stoc
    Then the caller gets 503 and is told when to come back
    When the evacuation ends
    And a caller asks stoc
    Then the caller gets 200 with the backend server's own body and signature

  # Guards against a cold backend server that is pushed past what it bears.
  Scenario: A cold backend server gets no more than it bears
    Given stoc-1 of stoc answers and is cold
    When 30 callers ask stoc at once
    Then stoc-1 got at most 5 requests

  # Guards against slots that are filled with slow first runs of one object.
  Scenario: Requests of an object wait for the first one
    Given stoc-1 of stoc answers after 100 ms
    When 5 callers ask stoc for one object at once
    Then 1 request was at the backend server in the first 60 ms
    And each caller gets 200

  Scenario: An unknown route is answered 404, and 503 before the catalog is known
    When a caller asks nothing
    Then the caller gets 404
    Given an entry that knows no catalog
    When a caller asks nothing
    Then the caller gets 503 and is told when to come back

  # Guards against requests that are cut by a planned stop.
  Scenario: A stop ends the requests that were taken
    Given stoc-1 of stoc answers after 400 ms
    When a caller asks stoc and the entry stops
    Then the entry is not ready
    And each caller gets 200
    And the entry has stopped within 1000 ms

  # Guards against requests that are sent on although their callers left while the process was busy.
  Scenario: A delay of the event loop is still known when connections are read after it
    When the event loop is busy for 200 ms
    Then requests read after it count as having waited for at least 140 ms
    And after 120 ms they count as having waited for less than 50 ms

  # Guards against failed requests that on-call engineers cannot explain from the log.
  Scenario Outline: Each outcome of a failed request leaves a line with its id
    Given orders-1 of orders <behaviour>
    When a caller asks orders
    Then the log tells that the request ended as <outcome> and what orders-1 did

    Examples:
      | behaviour             | outcome   |
      | resets                | failed    |
      | refuses               | refused   |
      | falls silent          | timed-out |

  Scenario: A request without any backend server leaves a line with its id
    When a caller asks orders
    Then the log tells that the request ended as no-server

  # Guards against requests that are sent on although their callers left while their connections waited to be accepted:
  # each turn of the event loop accepts one, so they wait without any delay of the loop.
  Scenario: Callers that leave before their connections are accepted have nothing sent on
    Given stoc-1 of stoc answers after 400 ms
    And each turn of the event loop takes 5 ms
    When 80 callers of another process ask stoc at once and leave after 150 ms
    Then no request reaches a backend server later than 100 ms after they left

  # Guards against an overloaded entry that works only for callers that have nearly given up.
  Scenario: Connections that waited too long are closed unread, and later callers are served
    Given stoc-1 of stoc answers
    And each turn of the event loop takes 5 ms
    When 100 callers of another process ask unknown at once and leave after 1500 ms
    Then at least 10 of them were closed unread, and all others were answered within 400 ms
    When a caller asks stoc
    Then the caller gets 200 with the backend server's own body and signature

  # Guards against a process that ends while it reads the first request of a connection that it has accepted.
  Scenario: A stop waits for the request of a connection that was accepted last
    Given an entry that may take 2000 ms to stop
    And stoc-1 of stoc answers after 100 ms
    When a caller connects 1130 ms into the stop of the entry and asks stoc 120 ms later
    Then the caller gets 200 with the backend server's own body and signature
    And the entry stopped after the answer
