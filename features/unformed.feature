Feature: A control node whose own cluster never formed joins the one that did
  A process that is frozen just before it forms a cluster forms it when it
  resumes, even if the others have formed one without it by then. Seeds 1 to 4 of
  the simulator, three control nodes.

  Scenario Outline: Frozen for <length> ms <moment>
    Given a small first start whose forming node is frozen for <length> ms <moment>
    When 30 s have passed
    Then one cluster remains, and all three control nodes vote in it
    Examples:
      | length | moment                            |
      | 2000   | in the round before it forms      |
      | 3500   | in the round before it forms      |
      | 6000   | in the round before it forms      |
      | 2000   | after it has proposed its cluster |
      | 3500   | after it has proposed its cluster |
      | 6000   | after it has proposed its cluster |

  Scenario Outline: Restarted right after it gave its own cluster up, <how>
    Given a small first start whose forming node is frozen for 4000 ms after it has proposed its cluster
    When it has abandoned its own cluster, it is <how>, and 30 s have passed
    Then one cluster remains, and all three control nodes vote in it
    Examples:
      | how                           |
      | killed and started again      |
      | powered off and started again |
      | powered off at its next write |

  Scenario: A cluster that voted is never given up for another
    Given a control node whose own cluster has reached a term above 0
    When a node of another cluster responds to its probe and names a leader
    Then it stays in its own cluster
