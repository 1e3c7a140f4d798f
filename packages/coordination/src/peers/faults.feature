Feature: Peer connections under faults
  Client and listener are connected through a fault-injecting proxy. The inactivity timeout of connections is 1000 ms.

  Scenario: An inactive connection is dropped and dialed again while new connections work
    Given a client and a listener connected through a proxy
    When a call hangs and both directions of its connection drop all bytes
    Then the hanging call fails at the step "reply", possibly run
    And the listener aborts the hanging request
    And the client reaches the listener over another connection
    And "peers.silent_connections" counted both sides

  Scenario Outline: A one-way partition ends the connection on both sides, which reconnect when it heals
    Given a client and a listener connected through a proxy
    When a call hangs and the direction <direction> is blocked for all connections
    Then the client and the listener have no connection
    And the listener aborts the hanging request
    When the partition heals
    Then the client reaches the listener over another connection

    Examples:
      | direction |
      | toServer  |
      | toClient  |

  Scenario: A reset in the middle of a reply
    Guards against a partial reply that is delivered to its caller.
    Given a client and a listener connected through a proxy
    When a reply of 3000000 bytes is under way and the connection is reset
    Then the hanging call fails at the step "reply", possibly run
    And the client reaches the listener over another connection

  Scenario: A late reply is never delivered to another request
    Given a client and a listener with long inactivity timeouts connected through a proxy
    When replies are held back until a call has exceeded its deadline and another one is waiting
    Then the other call received its own reply
    And "peers.late_replies" counted 1

  Scenario: Refused connections are retried with back-off
    Given a client and a listener connected through a proxy
    When the proxy resets and refuses connections until 3 dials have failed
    Then the client reaches the listener over another connection

  Scenario: The connection of a receiver that reads no replies is dropped, so that the outgoing buffer is bounded
    Given a listener for raw sockets
    When a raw socket requests 40 replies of 1000000 bytes, sends heartbeats and reads nothing
    Then the listener drops the raw socket and "peers.outgoing_buffer_full" counted 1

  Scenario: A connection with a stalled write is dropped although heartbeats arrive
    Guards against half-open connections on which only the other direction works.
    Given a listener for raw sockets
    When a raw socket requests 10 replies of 1000000 bytes, sends heartbeats and reads nothing
    Then the listener drops the raw socket and "peers.silent_connections" counted 1

  Scenario: Mutual TLS with renewed certificates
    Given a listener with TLS files
    Then a client with a certificate of its authority connects
    And a client of another cluster is sent the reason by the listener
    And a client with a certificate of another authority is rejected
    And a client without TLS is rejected
    And a client that expects another name in the certificate is rejected
    When the files are replaced by invalid ones and then by those of a new authority
    Then a client with a certificate of the new authority connects
