Feature: After a majority of voters is lost for good
  The other nodes hold copies of the state, from which an operator's command recovers it on new control nodes.

  Scenario Outline: A new core out of what survives
    Given a small world with settings, keys, numbers and a lock
    When <lost> are permanently lost, and the core is recovered on new ones
    Then the settings are read back in full, and requests run again within 15 s
    And numbers, revisions, fences, generations, terms and epochs are above the old ones
    And keys are <keys>
    And no lock is granted to another holder before the old lease has expired
    And old requests get an unknown outcome, and do not run again
    Examples:
      | lost                                             | keys      |
      | all control nodes                                | none      |
      | two control nodes                                | as before |
      | all control nodes and all machines of one region | none      |

  Scenario: A minority believed lost that comes back does not act
    Given a small world with settings, keys, numbers and a lock
    When two control nodes are permanently lost, and the core is recovered on new ones
    And the surviving old control node keeps running with its old disk
    Then it knows that its cluster was superseded, also after a restart, and is no member

  Scenario: A whole old core believed lost that comes back is told to stop
    Given a small world with settings, keys, numbers and a lock
    When all old control nodes are cut off, and the core is recovered on new ones
    And the old control nodes are reachable again
    Then one new leader leads all nodes, and no old control node leads

  Scenario Outline: What must not be recovered is not
    Given a small world with settings, keys, numbers and a lock
    When <what>
    Then the recovery is refused, since <why>
    Examples:
      | what                                              | why                      |
      | nothing is lost                                   | a leader is active       |
      | one control node is lost                          | a leader is active       |
      | a majority of the voters runs without a leader    | a majority of the voters |
      | all control nodes are lost and no target is named | not among the processes  |
      | the target is a directory                         | no empty control node    |
      | no node holds a copy                              | holds a copy             |
      | garbage is sent to an empty control node          | 400                      |
      | a recovery is sent to a node with state           | 409                      |
