Feature: A core forms from seeds alone, once
  The initial nodes are not listed, and the number of control nodes is not
  configured. Each row runs under several seeds of the simulator.

  Scenario Outline: First start
    Given 6 cores and 3 directories whose seeds are <seeds>
    When they first start <how>
    Then in the end there is <clusters> cluster, and never two
    Examples:
      | seeds             | how                                                       | clusters |
      | core0,core1,dir0  | together                                                  | one      |
      | dir0,dir1,dir2    | together                                                  | one      |
      | core0             | together                                                  | one      |
      | core0,core1,dir0  | with core0,core1,core2 partitioned from the rest          | one      |
      | core0,core1,dir0  | with core0,core2 partitioned from the rest                | one      |
      | core0,core1,dir0  | with cores split into halves that both reach dir0         | one      |
      | core0,core1,core2 | with core0 isolated for a while                           | one      |
      | core0,core1,dir0  | with core3,core4,core5 twenty seconds late                | one      |
      | core0,core1,dir0  | one by one, four seconds apart                            | one      |
      | core0,core1,dir0  | with the node that forms the cluster killed as it does so | one      |
      | core0,core1,dir0  | with core0 and dir0 never starting                        | no       |
      | core0,core1,dir0  | under loss of a tenth of all frames                       | one      |

  Scenario: A wiped core machine at a new address joins and becomes a voter
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And core2 is lost and core9 starts empty with the same seeds
    Then core9 is a voter of the only cluster and core2 is not

  Scenario: Seeds that are all stale
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And core2 restarts with unreachable seeds
    Then core2 follows the leader again

  Scenario: A partner of another cluster is refused, and both go on
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And a core of another cluster learns the address of core0
    Then it is refused, the refusal is logged, and it stays in its own cluster

  Scenario: The voting set spans regions, so that any one can be lost
    Given 6 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And regions are configured
    Then five cores vote, and no region has more than two of them

  Scenario Outline: Each process has three seeds of its own, of any role, a fifth of them stale
    When accra first starts <how> under seeds 1 to 3
    Then one cluster forms and all nodes join it
    Examples:
      | how          |
      | together     |
      | late         |
      | lossy        |
      | split        |
      | split_uneven |
      | split_roles  |

  Scenario: A start that can not form says why
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start with core0 and dir0 never starting
    Then core1 reports the silent seeds in its log and its status
