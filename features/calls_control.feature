Feature: An ask of the master acts once, whoever leads and however late its copies come
  docs/notes/worst-days/calls.md describes the same rows.

  Scenario Outline: <op> acted under one master and is put again to the next, after <between>
    Given a control node that leads, and operations of all kinds
    When <op> is requested of it and carried out, and then <between>
    And another leader is elected, and a copy of the request arrives
    Then the copy gets <status>, and changes nothing
    Examples:
      | op           | between                     | status |
      | cell.empty   | the withdrawal              | 504    |
      | lock.hold    | another holder's turn       | 409    |
      | lock.take    | another holder's turn       | 409    |
      | lock.renew   | another holder's turn       | 409    |
      | lock.yield   | the same holder's next turn | 200    |
      | lock.free    | the same holder's next turn | 200    |
      | number.next  | another number              | 200    |
      | number.step  | another number              | 200    |
      | cell.put     | another value               | 200    |
      | key.put      | another value               | 200    |
      | key.drop     | another value               | 200    |
      | items.apply  | a higher version            | 200    |
      | config.apply | another configuration       | 200    |
      | claim        | its closing                 | 200    |
      | close        | the next attempt's claim    | 409    |
      | beat         | the draining                | 200    |
      | leave        | a newcomer at the address   | 200    |

  Scenario: Every operation that acts has its row above
    Then the rows above name every operation that changes the state

  Scenario Outline: <op> that is held up on its way acts under no master
    Given a control node that leads, and operations of all kinds
    When <op> is requested of it by a frame that names <seen>
    Then the operation is <outcome>
    Examples:
      | op         | seen                               | outcome              |
      | cell.empty | its newest round                   | done                 |
      | cell.empty | a round of 2 s ago                 | rejected as too late |
      | cell.empty | a round of another leader          | rejected as too late |
      | cell.empty | a round that never was             | rejected as too late |
      | cell.empty | no round, as at the previous level | done                 |
      | lock.hold  | a round of 2 s ago                 | rejected as too late |
      | cell.put   | a round of 2 s ago                 | rejected as too late |
      | beat       | a round of 2 s ago                 | rejected as too late |

  Scenario: An ask names the newest round of the master that it is put to, and the term that it was first put in
    Given a control node that follows b, and requests an evacuation from it
    When c leads in the next term instead
    Then c gets the request only after its heartbeat, with the earlier term

  Scenario: What was put to an older master and is not known again is unknown to a node that leads itself
    Given a control node that follows b, and requests an evacuation from it
    When the node itself leads in the next term
    Then the call gets 504 and no zone is evacuated

  Scenario: A beat put twice is one beat to an endpoint that is taken for cold
    Given a control node that leads, and operations of all kinds
    When an endpoint sends a heartbeat, its zone is evacuated and restored, and one late heartbeat arrives twice
    Then the endpoint still counts as cold
    And the second heartbeat after that makes it warm

  Scenario Outline: A probe's answer counts only for its own asking
    Given a control node that leads, and operations of all kinds
    When a probe of an endpoint is in progress and <whose> reports it as gone
    Then that endpoint is <outcome>
    Examples:
      | whose                             | outcome    |
      | another node                      | registered |
      | the prober, for an earlier probe  | registered |
      | the prober                        | removed    |
      | the prober, at the previous level | removed    |

  Scenario Outline: A kept outcome is handed on only to the request that it is of
    Given a proxy that asks another for the outcome of request 5.a
    When its response is <response>
    Then the caller of 5.a gets <result>
    Examples:
      | response                 | result  |
      | the outcome of 5.b       | nothing |
      | the outcome of 5.a       | 200     |
      | an outcome without an id | 504     |

  Scenario Outline: Asks doubled, held up, sent to old and new masters, and their answers lost, seed <seed>
    Given three control nodes, with requests copied to all of them up to 9 s late and responses lost, under seed <seed>
    When callers request evacuations, locks, numbers, values and heartbeats for 90 s while leaders crash, freeze and are cut off
    Then each acknowledged effect stays in the state until the caller's next command
    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
