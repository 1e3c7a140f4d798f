Feature: Memory of completed requests

  # Guards against garbage in V8's old generation that refers to a request. Until the next full collection, every
  # scavenge then copies the request, with pauses of several milliseconds. Accessors of object literals and generator
  # functions have this effect when they are created for each request.
  Scenario Outline: A completed request is freed without a full collection
    Given an entry
    And 1 backend server
    When the caller sends 200 idempotent requests with a large header and a body of <bytes> bytes
    Then scavenges alone freed the requests

    Examples:
      | bytes  |
      | 0      |
      | 70000  |

  # Guards against a hidden class in the old generation for each check before a dispatch.
  Scenario: The check before each dispatch leaves no garbage for a full collection
    When an entry checks 20000 times whether a backend server is usable
    Then scavenges alone freed the memory of 20000 checks
