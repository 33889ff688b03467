Feature: A core that restarts with a large state soon serves its nodes

  Scenario Outline: The whole core restarts with a large state, over links of limited bandwidth
    Given 9 control nodes and 57 proxies with 12000 routes, whose links carry 120 Mbit/s and 2 Mbit/s
    And the proxies hold the routes and the control nodes start from their disks, under seed <seed>
    When 4 s pass after the restart of the core
    Then the restarted core has one leader, elected in at most 3 terms
    And every proxy got a lease from the restarted core within 2000 ms of its start
    And no member was sent a full state that it already had

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A new leader sends the full state to a proxy that lost its state, and to no other node
    Given 9 control nodes and 57 proxies with 12000 routes, whose links carry 120 Mbit/s and 2 Mbit/s
    And the proxies hold the routes and the control nodes start from their disks, under seed 6
    And one of these proxies has no state
    When 4 s pass after the restart of the core
    Then the restarted core has one leader, elected in at most 3 terms
    And every proxy got a lease from the restarted core within 2000 ms of its start
    And one member was sent a full state
