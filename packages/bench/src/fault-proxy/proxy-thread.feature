Feature: Fault-injecting proxies on a thread of their own

  # Guards against a network between replicas that stalls whenever the thread that generates load is busy.
  Scenario: Bytes pass while the thread that started the proxy is blocked
    Given a proxy on a thread of its own in front of an echo server on another thread
    When a client on the thread of the echo server makes 20 round trips while this thread is blocked
    Then all round trips were completed before this thread continued

  # Guards against a partition that takes effect only after its call has returned, or that also affects other clients.
  Scenario: Only the named client is partitioned, as soon as the call returns
    Given a proxy on a thread of its own in front of an echo server on another thread
    When the flow of the client "entry-1" is set to dropped
    Then a client that first sends "entry-1" receives nothing and one that first sends "entry-2" receives its bytes back
    When the flow of the client "entry-1" is set to open
    Then a client that first sends "entry-1" receives its bytes back
