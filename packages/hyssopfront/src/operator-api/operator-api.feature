Feature: Operator API

  Background:
    Given an API over a state with the region "hame" at revision 1

  Scenario Outline: Status codes and bodies of responses
    When the request <method> <path> is sent with <headers> and the body <body>
    Then the response is <code> with <content>

    Examples:
      | method | path                      | headers                          | body                                       | code | content |
      | GET    | /v1/regions/hame          | {}                               |                                            | 200  | {"kind":"Region","revision":1} |
      | GET    | /v1/regions               | {}                               |                                            | 200  | {"revision":1} |
      | GET    | /v1/regions/none          | {}                               |                                            | 404  | {"error":"notFound"} |
      | GET    | /v1/none                  | {}                               |                                            | 404  | {"error":"notFound"} |
      | GET    | /v1/regions/H%20          | {}                               |                                            | 422  | {"field":"name"} |
      | GET    | /v1/watch?fromRevision=x  | {}                               |                                            | 400  | {"error":"fromRevision"} |
      | POST   | /v1/regions/hame          | {}                               |                                            | 405  | {"error":"methodNotAllowed"} |
      | PUT    | /v1/regions/itasuomi      | {}                               | {"spec":{}}                                | 201  | {"result":"created","revision":2,"generation":1} |
      | PUT    | /v1/regions/itasuomi      | {}                               | {"spec":{"links":[{"to":"none","bitsPerSecond":1}]}} | 422 | {"field":"spec.links.0.to"} |
      | PUT    | /v1/regions/hame          | {"If-Match":"\"1\""}             | {"spec":{"links":[{"to":"x","bitsPerSecond":0}]}} | 422 | {"field":"spec.links.0.bitsPerSecond"} |
      | PUT    | /v1/regions/hame          | {"If-Match":"\"1\""}             | {"spec":{"speed":1}}                       | 422  | {"field":"spec.speed"} |
      | PUT    | /v1/regions/hame          | {"If-Match":"\"7\""}             | {"spec":{}}                                | 409  | {"error":"conflict","current":{"kind":"Region","name":"hame","generation":1,"revision":1,"spec":{"links":[]}}} |
      | PUT    | /v1/regions/hame          | {"If-Match":"\"1\""}             | {"revision":2,"spec":{}}                   | 400  | {"error":"ifMatch"} |
      | PUT    | /v1/regions/hame          | {"If-Match":"1"}                 | {"spec":{}}                                | 400  | {"error":"ifMatch"} |
      | PUT    | /v1/regions/hame          | {}                               | {"revision":1,"generation":1,"status":{},"spec":{"links":[]}} | 200 | {"result":"unchanged","revision":1} |
      | PUT    | /v1/regions/hame          | {}                               | {"name":"other","spec":{}}                 | 422  | {"field":"name"} |
      | PUT    | /v1/regions/hame          | {}                               | {"spec":                                   | 400  | {"error":"malformedJson"} |
      | PUT    | /v1/regions/hame          | {"Content-Type":"text/plain"}    | {"spec":{}}                                | 415  | {"error":"contentType"} |
      | PUT    | /v1/regions/hame          | {"Request-Id":"a b"}             | {"spec":{}}                                | 400  | {"error":"requestId"} |
      | DELETE | /v1/regions/hame          | {}                               |                                            | 400  | {"error":"ifMatch"} |
      | DELETE | /v1/regions/hame          | {"If-Match":"\"1\""}             |                                            | 200  | {"result":"deleted","revision":2} |
      | DELETE | /v1/regions/none          | {"If-Match":"\"1\""}             |                                            | 404  | {"error":"notFound"} |

  Scenario: A retry with the same request id gets the first response, and another body is rejected
    When a put is sent, retried with its keys in another order, and sent with another body, all with one request id
    Then the responses are 201, 201 and 409, and the first two are equal

  Scenario Outline: Requests that cannot be committed
    Given the backend has <fault>
    When the request PUT /v1/regions/x is sent with {"Request-Id":"id-1"} and the body {"spec":{}}
    Then the response is <code> with <content>
    And the response has the header <header>

    Examples:
      | fault              | code | content                                       | header           |
      | no leader          | 503  | {"error":"noLeader"}                          | retry-after: 1   |
      | an unknown outcome | 504  | {"error":"outcomeUnknown","requestId":"id-1"} | request-id: id-1 |

  Scenario: Only the correct bearer token is authorized
    Given an API that requires the token "correct-token"
    Then the tokens "", "Bearer wrong", "Bearer correct-toke" and "Basic correct-token" get 401, and "Bearer correct-token" gets 200

  Scenario: Oversized and slow requests end with an error and a counter
    Given an API with a body limit of 200 bytes and a request timeout of 200 milliseconds
    Then a body of 300 bytes, with a content length or chunked, gets 413 and the counter "tooLarge"
    And headers of 20000 bytes get 431 and the counter "headersTooLarge"
    And a request with an incomplete body gets 408 and the counter "slowRequest"
    And a first line that is not HTTP gets 400 and the counter "malformedRequest"
    And a header "bad name: x" gets 400 and the counter "malformedRequest"
    And a header "X-Y : 1" gets 400 and the counter "malformedRequest"
    And a header "Transfer Encoding: chunked" gets 400 and the counter "malformedRequest"

  Scenario: Changes in progress use a limited amount of memory
    Given an API that buffers at most 100 bytes of changes
    When a change of 60 bytes waits for its commit and another one of 60 bytes is sent
    Then the second one gets 503 at once, and 201 after the response to the first one

  Scenario: A watch whose client reads nothing is disconnected
    Given an API that disconnects slow clients after 200 milliseconds
    When a client opens a watch over 10 MB of changes and reads nothing
    Then its connection is closed and the counter "operator_api.slow_readers" is incremented once

  Scenario: A watch resumes after a revision across a compaction
    When a watch from revision 0 reads one change and is closed, and 5 changes follow
    Then a watch from the last revision read gets exactly the 5 changes in order
    And after a compaction up to revision 4 a watch from revision 2 gets 410 with the oldest revision 4
    And a watch from revision 4 gets exactly the changes after it

  Scenario: A stop ends watches at the end of a line and completes the change in progress
    When the API is stopped while a watch is open and a change waits for its commit
    Then the watch ends cleanly, the change gets its response, and new connections are refused

  # Guards against responses that a stop cuts off because they have been handed to their connection but not sent yet.
  Scenario: A stop sends the whole response to a client that reads slowly
    Given the backend has a status of 20000000 bytes
    When a client requests the status and the API is stopped before the client reads
    Then the client gets the whole response
