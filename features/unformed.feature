Feature: A control node whose own cluster never formed joins the one that did
  A process that is frozen in the moment before it forms a cluster forms it when
  it wakes, also where the others have formed one without it by then. Seeds 1 to 4
  of the simulator, three control nodes.

  Scenario Outline: Frozen for <length> ms <moment>
    Given a small start whose former is frozen for <length> ms <moment>
    When 30 s have gone by
    Then one cluster leads, and all three control nodes vote in it
    Examples:
      | length | moment                            |
      | 2000   | in the round before it forms      |
      | 3500   | in the round before it forms      |
      | 6000   | in the round before it forms      |
      | 2000   | once it has proposed its cluster  |
      | 3500   | once it has proposed its cluster  |
      | 6000   | once it has proposed its cluster  |

  Scenario Outline: Restarted right after it gave its own cluster up, <how>
    Given a small start whose former is frozen for 4000 ms once it has proposed its cluster
    When it has given its own cluster up it is <how>, and 30 s have gone by
    Then one cluster leads, and all three control nodes vote in it
    Examples:
      | how                               |
      | killed and started again          |
      | without power and started again   |
      | without power at its next write   |

  Scenario: A cluster that voted is never given up for another
    Given a control node whose own cluster has had a term
    When a node of another cluster answers its probe with a leader
    Then it stays in its own
