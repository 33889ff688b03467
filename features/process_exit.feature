Feature: A process that is told to stop sends the answers that it has begun
  Real processes. A client with a small window has read the first byte of a long answer when the process gets SIGTERM, and
  reads on only after the process would have ended without it.

  Scenario Outline: <answer> is sent whole by a <process> that was told to stop
    # Guards against a process that ends once its answers were handed on, not sent (review/3).
    Given a deployment of the platform whose answers are long
    When a client has read the first byte of <answer>, and the <process> gets SIGTERM
    Then the <process> still runs 4 s later
    And the client reads the rest of it, and the <process> exits with 0
    Examples:
      | answer                   | process      |
      | an endpoint's answer     | proxy        |
      | the proxy's copy         | proxy        |
      | the configuration        | control node |
      | the control node's copy  | control node |

  Scenario: A client that never reads holds a proxy no longer than its grace period
    Given a deployment of the platform whose answers are long
    When a client has read the first byte of an endpoint's answer, and the proxy gets SIGTERM
    Then the proxy still runs 4 s later
    And it exits with 0 by the end of its grace period, with the answer cut

  Scenario: Idle connections do not hold a process
    Given a deployment of the platform whose answers are long
    When a client has read the whole configuration and keeps its connection, and the control node gets SIGTERM
    Then the control node exits with 0 within half of its grace period
