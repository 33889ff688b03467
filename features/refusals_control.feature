Feature: What a control node refuses of its callers changes nothing
  Like refusals.feature, for the operations that the leader carries out.

  Scenario: A configuration that was based on another one is refused
    Given a control node that leads
    When a configuration with the label "one" is applied to the current one
    And a configuration with the label "two" is applied to the one before
    Then the last operation got status 409, and the label is "one"

  Scenario: A configuration with a fault is refused
    Given a control node that leads
    When a configuration with the label "one" is applied to the current one
    And an invalid configuration is applied to the current one
    Then the last operation got status 400, and the label is "one"

  Scenario: An item's version with another content is refused
    Given a control node that leads
    When pool s of version 2 with 5 connections is set
    And pool s of version 2 with 6 connections is set
    Then the last operation got status 409, and pool s has 5 connections

  Scenario: An item with a fault is refused
    Given a control node that leads
    When pool s of version 2 with 5 connections is set
    And pool s of version 3 with -1 connections is set
    Then the last operation got status 400, and pool s has 5 connections

  Scenario: An id of an epoch whose claims are forgotten is not claimed
    Given a control node that leads in epoch 20
    When id 5.x is claimed
    Then the claim is "old", and nothing is stored of it

  Scenario Outline: An operation whose id is of no epoch in use is refused: <id>
    Given a control node that leads in epoch 20
    When key k is put with id <id>
    Then the last operation got status <status>, and key k <exists>
    Examples:
      | id   | status | exists         |
      | 20.x | 200    | exists         |
      | 21.x | 400    | does not exist |
      | 5.x  | 400    | does not exist |

  Scenario: A copy of an evacuation order is acknowledged again and counts once
    Given a control node that leads
    When a zone is evacuated by command o1 based on number 0
    And the evacuation is withdrawn by command o2 based on number 1
    And a zone is evacuated by command o1 based on number 0
    Then the last operation got status 200, and the zone serves requests, under number 2

  Scenario: A heartbeat from before one that changed nothing is passed over
    Given a control node that leads
    When an endpoint sends heartbeat 5, which says ready
    And an endpoint sends heartbeat 9, which says ready
    And an endpoint sends heartbeat 7, which says draining
    Then the endpoint's row says ready

  Scenario: After a recovery no lock is given before those of before have run out
    Given a control node that leads in epoch 20
    When no locks are granted until epoch 22, and x requests a lock
    Then x got no lock
    When epoch 22 has begun, and x requests a lock
    Then x got the lock

  Scenario: Callers of a node that its leader does not count yet are told so within an election's time
    Given a control node that gets a commit from b, but no heartbeat
    When a caller of the node requests a number
    Then it is refused within 500 ms

  Scenario: A node that has lost touch with its leader puts no call to it
    Given a control node that follows b
    When 800 ms go by
    And a caller of the node requests a number
    Then it is refused within 300 ms
    And b gets no request

  Scenario Outline: What must be an object and is a list is refused with its place: <what>
    Given a control node that leads
    When <what> is a list
    Then the call is refused with status 400, for "<path>"
    Examples:
      | what                | path               |
      | a configuration     | $                  |
      | a rule              | $.rules.x          |
      | a pool's selector   | $.pools.x.selector |
      | a change of items   | $                  |
