Feature: A control node that lost its disk forms no cluster
  Guards against review/1: control nodes that lost their disks formed a second cluster while the others were without
  power. A setting tells a process whether the whole system starts for the first time; only the processes of that first
  start may form a cluster. Each row runs under several seeds of the simulator.

  Scenario Outline: Disks are lost while the other control nodes are without power
    Given one cluster of <cores> control nodes and 3 directories whose seeds are core0,core1,core2
    When all lose power, <lost> lose their disks, and the others come back 30 s later
    Then no cluster was formed meanwhile, and all are in the original cluster
    Examples:
      | cores | lost        |
      | 5     | core0,core1 |
      | 6     | core0,core1 |
      | 6     | core1,core2 |
      | 6     | core0,core4 |
      | 9     | core0,core2 |

  Scenario: A control node whose damaged data was set aside counts as one that lost its disk
    Given one cluster of 6 control nodes and 3 directories whose seeds are core0,core1,core2
    When all lose power, the data of core0,core1 is damaged, and the others come back 30 s later
    Then no cluster was formed meanwhile, and all are in the original cluster

  Scenario: The program remembers that data was set aside, also where that was all that a loss of power left
    When zinctrail-controller starts on damaged data, and again on what a loss of power leaves of its folder
    Then both times its folder records that it may form no cluster

  Scenario Outline: The program remembers what it was told at the start on an empty folder, <flags>
    When zinctrail-controller starts on an empty folder with <flags>, and again with <later>
    Then both times its folder records that it may form <what> cluster
    Examples:
      | flags               | later               | what |
      | --first_start=true  | --first_start=false | a    |
      | --first_start=false | --first_start=true  | no   |

  Scenario: A set that is too small for the losses that it has to bear waits for others
    Given a system that tolerates the loss of 2, of 6 control nodes and 3 directories whose seeds are core0,core1,core2
    When core3,core4,core5 first start 4 s after the others
    Then the cluster is formed by all six

  Scenario: Control nodes that agreed to a cluster and missed its forming form no second one
    Given 6 control nodes and 3 directories whose seeds are core0,core1,core2
    When two seeds are frozen from the round in which a cluster forms until all lose power
    And these two come back, and the others 30 s later
    Then no cluster was formed meanwhile, and all are in the original cluster

  Scenario Outline: A first start that is cut short ends in one cluster, also where disks are lost by it
    Given <cores> control nodes and 3 directories whose seeds are core0,core1,core2
    When all lose power between <first_ms> and <last_ms> ms after the first start, and <lost> of them their disks
    Then in the end there is one cluster, and never two
    Examples:
      | cores | lost | first_ms | last_ms |
      | 3     | 1    | 300      | 2600    |
      | 5     | 2    | 300      | 2600    |
      | 6     | 2    | 300      | 2600    |
      | 9     | 2    | 300      | 2600    |

  Scenario Outline: A first start that is cut short while a cluster forms ends in one cluster
    Given <cores> control nodes and 3 directories whose seeds are core0,core1,core2
    When all lose power once <count> of them have accepted its first version, and <lost> of them their disks
    Then in the end there is one cluster, and never two
    Examples:
      | cores | count | lost |
      | 3     | 1     | 1    |
      | 5     | 1     | 2    |
      | 5     | 2     | 2    |
      | 6     | 1     | 2    |
      | 6     | 2     | 2    |
      | 6     | 3     | 2    |

  Scenario: A first start of three without two of their disks waits, and says why
    Given 3 control nodes and 3 directories whose seeds are core0,core1,core2
    When all lose power between 300 and 600 ms after the first start, and 2 of them their disks
    Then no cluster is formed, and those without their disks report in log and status that they only join
