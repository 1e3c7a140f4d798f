Feature: Admission where capacity is scarce

  33 entries use a service of 109 backend servers with 4 slots each, on which all requests for objects that are not cached would
  need 607 slots. Urgent requests take 327 ms or, if cached, 98 ms; less urgent ones 2,036 or 611 ms.

  # Guards against urgent requests that are served less often than others, against starved accounts and kinds of requests, and
  # against an admission that rejects more than it saves.
  Scenario Outline: Urgent requests come first and nobody is starved <event>
    When requests arrive <event>
    Then urgent requests are served as often as less urgent ones, or at most 5 in 100 less
    And each kind and each account is served at least a quarter as often as the average of all
    And more requests are served within their objectives than without priority admission

    Examples:
      | event                                                             |
      | while all caches are cold                                         |
      | in a burst of 1.7 times the usual rate                            |
      | after a quarter of the backend servers is lost                    |
      | while one account sends 7.5 times its usual amount                |
      | while one account sends 7.5 times its usual amount with priority 0 |
      | during all of this at the same time                               |

  # Guards against rejections while the capacity suffices.
  Scenario: Requests are served as before while the capacity suffices
    When requests arrive long after the caches have been filled
    Then at most 5 in 100 requests are rejected
    And more requests are served within their objectives than without priority admission
