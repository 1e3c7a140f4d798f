Feature: Statuses that reach callers

  Background:
    Given an entry

  # Guards against a caller that repeats a request that has run, because its response says that it has not, against
  # statuses that callers cannot interpret, and against an exception that ends the process.
  Scenario Outline: A response with status <status> reaches no caller
    Given backend servers that respond with status <status>
    Then the response of a request that must not be repeated is 502 if it is short
    And the response of a request that must not be repeated is 502 if it has no body
    And the response of a request that must not be repeated is 502 if it is long
    And the response of a request that must not be repeated is 502 if it is long and chunked
    And the response of a request that must not be repeated is 502 if it ends with its connection
    And the response of a request that must not be repeated is 502 if it comes on a reused connection
    And the response of a request that must not be repeated is 502 if it comes before the end of the body
    And the response of a request that must not be repeated is 504 if it comes after the deadline
    And the response of an idempotent request is 200 if another backend server responds
    And the response of an idempotent request is 502 if all backend servers respond so
    And the entry still serves requests
    And the refused responses are counted and logged

    Examples:
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 150    |
      | 600    |
      | 999    |
      | 408    |
      | 429    |
      | 503    |

  Scenario Outline: A rejection with status <status> is <result>
    Given backend servers that reject requests with status <status>
    Then the response of a request that must not be repeated is <response> if it is short
    And the response of an idempotent request is 200 if another backend server responds

    Examples:
      | status | result                          | response |
      | 503    | one                             | 503      |
      | 429    | one                             | 503      |
      | 000    | a response that may not be one  | 502      |
      | 999    | a response that may not be one  | 502      |

  Scenario: Informational responses are skipped
    Given backend servers that respond with status 103 without a length and then with 200
    Then the response of a request that must not be repeated is 200 if it is short
