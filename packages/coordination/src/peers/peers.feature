Feature: Peer connections
  Each scenario runs over real sockets on 127.0.0.1.

  Scenario: Replies reach their own calls when they arrive out of order
    Guards against one caller receiving the reply of another.
    Given a connected client
    When 200 calls receive their replies in a random order with seed 7
    Then each call received its own reply

  Scenario Outline: A peer whose identity does not match is rejected with a clear error
    Given a listener
    When a client with another <difference> dials
    Then its calls fail at the step connect with "<message>" and nothing was sent
    And the listener counted "peers.handshake_failures" or a lost connection

    Examples:
      | difference    | message            |
      | cluster       | belongs to cluster |
      | expected name | instead of         |

  Scenario: Another protocol version is rejected and the connection closed
    Given a listener
    When a raw socket sends a hello with protocol version 99
    Then it receives the rejection "speaks protocol version 99"
    And the raw socket is closed

  Scenario: A malformed frame closes only its own connection
    Given a connected client
    When a raw socket completes the handshake and sends a malformed frame
    Then the raw socket is closed
    And the counter "peers.malformed_frames" is 1
    And the client is still connected on its first connection

  Scenario: Failures carry their code
    Given a connected client
    Then a call of the kind "unheard-of" fails with the code "unknownKind", certainly not run
    And a call of the kind "reject" fails with the code "noRoom", possibly run
    And a call of the kind "too-long" fails with the code "replyRefused", possibly run
    And the client is still connected on its first connection

  Scenario: A late reply is delivered to no call
    Given a connected client
    When a call exceeds its deadline and its reply arrives during the next call
    Then the next call received its own reply
    And the counter "peers.late_replies" is 1

  Scenario: A lost connection aborts the signals of its handlers and fails its calls
    Given a connected client
    When a call hangs and the client closes
    Then the signal of the handler aborted
    And the call fails at the step "reply", possibly run

  Scenario: An exceeded deadline aborts the signal of the handler
    Given a connected client
    When a call hangs past its deadline
    Then the signal of the handler aborted
    And the call fails at the step "reply", possibly run

  Scenario: Requests over the limit are rejected and not run
    Given a connected client
    When 9 calls hang on a listener that runs 8
    Then one call fails with the code "overloaded", certainly not run

  Scenario: Connections over the limit are refused
    Given a listener
    When 5 raw sockets connect to a listener that accepts 4
    Then one raw socket is closed and "peers.connections_refused" is 1

  Scenario: A client reconnects to a restarted listener with its new incarnation
    Given a connected client
    When the listener restarts
    Then the client connects to the new incarnation

  Scenario: A connection attempt fails when the listener never sends a hello frame
    Given a socket that accepts connections and sends nothing
    When a client dials it
    Then its dial failure names the step handshake
