Feature: After a majority of voters is lost for good
  Others keep what the missing had, and hand it over, at an operator's word.

  Scenario Outline: A new core out of what survives
    Given a small world with settings, keys, numbers and a lock
    When <lost> are lost for good, and the core is recovered on a new one
    Then the settings are read back whole, and requests run again within 15 s
    And numbers, revisions, fences, generations, terms and epochs are above the old ones
    And keys are <keys>
    And no lock is given to another before its old holder must have stopped
    And ids of before are told unknown, and run no second time
    Examples:
      | lost                                        | keys       |
      | every core                                  | none       |
      | two cores                                   | as before  |
      | every core and all machines of one region   | none       |

  Scenario: A minority believed lost that comes back does not act
    Given a small world with settings, keys, numbers and a lock
    When two cores are lost for good, and the core is recovered on a new one
    And the surviving old core goes on with its old disk
    Then it knows that its cluster was given up, also after a restart, and is no member

  Scenario: A whole old core believed lost that comes back is told to stop
    Given a small world with settings, keys, numbers and a lock
    When all old cores are cut off, and the core is recovered on a new one
    And the old cores are back
    Then one master leads everybody, and none of the old

  Scenario Outline: What must not be recovered is not
    Given a small world with settings, keys, numbers and a lock
    When <what>
    Then the recovery is refused, since <why>
    Examples:
      | what                                     | why                           |
      | nothing is lost                          | a leader is active            |
      | one core is lost                         | a leader is active            |
      | a majority is there but has no master    | a majority of the voters      |
      | every core is lost and no target named   | not among the processes       |
      | the target is a directory                | no empty control node         |
      | nobody holds a copy                      | holds a copy                  |
      | garbage is sent to an empty core         | 400                           |
      | a recovery is sent to a core with state  | 409                           |
