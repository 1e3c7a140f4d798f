Feature: Replicated resource state

  Background:
    Given a state with the region "itasuomi", its zone "joensuu" and the service "maksupalvelu"

  Scenario: Of two concurrent changes with equal revisions exactly one is applied
    When two operators change the region "itasuomi" from the same revision
    Then one change is "updated" and the other is "conflict" with the winner

  Scenario: A retry after a lost response gets the first response and changes nothing
    When a change is applied, another operator changes the resource, and the first change is retried
    Then the retry gets the first response without a change record

  Scenario: A rejected create that is retried later is rejected again
    When a conflicting create is retried after the resource was deleted
    Then the retry gets the response "conflict" again

  Scenario: A request id with another body is rejected
    When the request id of a change is used for another body
    Then the response is "requestIdReused"

  Scenario Outline: An invalid reference is rejected with its field
    When the <kind> "x" is put with the spec <spec>
    Then the response is "invalid" at the field "<field>"

    Examples:
      | kind             | spec                                                                                                     | field                         |
      | Region           | {"links":[{"to":"hame","bitsPerSecond":1}]}                                                              | spec.links.0.to               |
      | Region           | {"links":[{"to":"x","bitsPerSecond":1}]}                                                                 | spec.links.0.to               |
      | AvailabilityZone | {"region":"hame","clientBlocks":[]}                                                                      | spec.region                   |
      | Service          | {"availabilityZones":["joensuu","lahti"]}                                                                | spec.availabilityZones.1      |
      | Shift            | {"service":"none","from":{"region":"itasuomi"},"to":{"availabilityZone":"joensuu"}}                      | spec.service                  |
      | Shift            | {"service":"maksupalvelu","from":{"region":"itasuomi"},"to":{"availabilityZone":"lahti"}}                | spec.to.availabilityZone      |
      | Shift            | {"service":"maksupalvelu","from":{"region":"itasuomi"},"to":{"region":"itasuomi"}}                       | spec.to                       |
      | Drain            | {"target":{"backendServer":{"service":"none","name":"b"}}}                                               | spec.target.backendServer.service |

  Scenario: A resource that others refer to cannot be deleted
    When the region "itasuomi" is deleted
    Then the response is "inUse" at the field "availability-zones/joensuu.spec.region"

  Scenario: Counts and sizes are limited
    Then a spec over the limit is "tooLarge" and a resource over the count is "limitReached"

  Scenario: Responses are kept for 24 hours and at least the last 10000
    Then a response in a full store is kept at 23 hours and evicted at 25 hours

  Scenario: Replicas stay equal when one of them restores snapshots between commands
    When 400 random commands are applied to a replica and to one that restores a snapshot after each 50, with seed 7
    Then both replicas have equal items, responses and revisions

  Scenario Outline: A snapshot of another version is read or rejected with both versions
    When a snapshot of version <version> readable from version <readable> is restored
    Then the restore is "<outcome>"

    Examples:
      | version | readable | outcome                                                                                    |
      | 2       | 1        | done                                                                                       |
      | 2       | 2        | The snapshot has version 2 and needs a program that reads version 2; this program reads version 1. |
      | 0       | 0        | The snapshot has version 0; this program reads version 1.                                  |

  Scenario: A command of a later version stops the replica instead of being skipped
    Then decoding a command of version 2 fails and names both versions
