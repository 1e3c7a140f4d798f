Feature: HTTP routes for announcements
  Uses a real HTTP server on 127.0.0.1.

  Scenario: A backend server announces itself and leaves
    Given an HTTP server with the routes
    When a PUT to "/v1/announcements/stoc/die-1" contains an announcement
    Then the response is 200 with '{"draining":false,"renewWithinMs":500}'
    And the backend server "die-1" is known
    When a DELETE to "/v1/announcements/stoc/die-1?incarnation=i1" is sent
    Then the response is 204
    And the backend server "die-1" is not known

  Scenario: The response reports a declared drain
    Given an HTTP server with the routes
    When a PUT to "/v1/announcements/stoc/draining" contains an announcement
    Then the response is 200 with '{"draining":true,"renewWithinMs":500}'

  Scenario: The response tells a backend server that has left when its drain has ended
    Given an HTTP server with the routes
    When a PUT to "/v1/announcements/stoc/draining" contains a leaving announcement
    Then the response is 200 with '{"draining":true,"renewWithinMs":500}'
    When a PUT to "/v1/announcements/stoc/die-1" contains a leaving announcement
    Then the response is 200 with '{"draining":false,"renewWithinMs":500}'
    And the backend server "die-1" is not known

  Scenario Outline: Rejected requests get a descriptive error
    Given an HTTP server with the routes
    When a <method> to "<path>" contains <body>
    Then the response is <status> and contains "<text>"

    Examples:
      | method | path                           | body            | status | text                |
      | PUT    | /v1/announcements/STOC/die-1   | an announcement | 400    | service: Use lower  |
      | PUT    | /v1/announcements/stoc/-       | an announcement | 400    | name: Use lower     |
      | PUT    | /v1/announcements/stoc/die-1   | "{"             | 400    | not valid JSON      |
      | PUT    | /v1/announcements/stoc/die-1   | "{}"            | 400    | body.address        |
      | PUT    | /v1/announcements/stoc/die-1   | 5000 bytes      | 413    | 4096 bytes          |
      | PUT    | /v1/announcements/stoc/die-1   | 5000000 bytes   | 413    | 4096 bytes          |
      | POST   | /v1/announcements/stoc/die-1   | an announcement | 405    | PUT or DELETE       |
      | DELETE | /v1/announcements/stoc/unknown | no body         | 404    | name its incarnation |
      | GET    | /v1/other                      | no body         | 418    | not found here      |

  Scenario: A body that stalls times out
    Guards against accepting an announcement whose request began long before the rest of its body arrived.
    Given an HTTP server with the routes
    When a PUT to "/v1/announcements/stoc/die-1" sends an incomplete body for 1000 ms
    Then the response is 408 and contains "deadline"
