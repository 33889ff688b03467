Feature: A core forms from seeds alone, once
  Nobody lists the initial nodes or tells the core's size. Each row runs under
  several seeds of the simulator.

  Scenario Outline: First start
    Given 6 cores and 3 directories whose seeds are <seeds>
    When they first start <how>
    Then in the end there is <clusters> cluster, and never two
    Examples:
      | seeds            | how                                              | clusters |
      | core0,core1,dir0 | together                                         | one      |
      | dir0,dir1,dir2   | together                                         | one      |
      | core0            | together                                         | one      |
      | core0,core1,dir0 | with core0,core1,core2 cut from the rest         | one      |
      | core0,core1,dir0 | with core0,core2 cut from the rest               | one      |
      | core0,core1,dir0 | with cores cut in halves that both see dir0      | one      |
      | core0,core1,core2 | with core0 seeing nobody for a while            | one      |
      | core0,core1,dir0 | with core3,core4,core5 twenty seconds late       | one      |
      | core0,core1,dir0 | one by one, four seconds apart                   | one      |
      | core0,core1,dir0 | with the former of the cluster killed as it forms | one     |
      | core0,core1,dir0 | with core0 and dir0 never starting               | no       |
      | core0,core1,dir0 | under loss of a tenth of all frames              | one      |

  Scenario: A wiped core machine at a new address joins and becomes a voter
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And core2 is lost and core9 starts empty with the same seeds
    Then core9 is a voter of the one cluster and core2 is none

  Scenario: Seeds that are all stale
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And core2 restarts with seeds that nobody answers
    Then core2 follows the master again

  Scenario: A partner of another cluster is refused, and both go on
    Given 3 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And a core of another cluster is pointed at them
    Then it is refused and logged, and stays in its own

  Scenario: The voting set spans regions, so that any one can be lost
    Given 6 cores and 3 directories whose seeds are core0,core1,dir0
    When they first start together
    And regions are configured
    Then five cores vote, and no region has more than two of them

  Scenario Outline: Each process has three seeds of its own, of any role, a fifth of them stale
    When accra first starts <how> under seeds 1 to 3
    Then one cluster forms and everybody joins it
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
    Then core1 says which seeds are silent, in its log and its status
