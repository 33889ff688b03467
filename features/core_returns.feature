Feature: A core that comes back with a large state is there for its nodes

  Scenario Outline: The whole core starts again with a large state, over links of a limited rate
    Given 9 control nodes and 57 proxies with 12000 routes, whose links carry 120 Mbit/s and 2 Mbit/s
    And the proxies hold the routes and the control nodes start from their disks, under seed <seed>
    When 4 s pass at the restarted control nodes
    Then the restarted control nodes have one leader, elected in at most 3 terms
    And every proxy got a lease from the restarted control nodes within 2000 ms of its start
    And no member was sent a full state that it held

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A proxy that lost what it held is sent the whole state by a new leader, and only it
    Given 9 control nodes and 57 proxies with 12000 routes, whose links carry 120 Mbit/s and 2 Mbit/s
    And the proxies hold the routes and the control nodes start from their disks, under seed 6
    And one of these proxies has an empty state
    When 4 s pass at the restarted control nodes
    Then the restarted control nodes have one leader, elected in at most 3 terms
    And every proxy got a lease from the restarted control nodes within 2000 ms of its start
    And one member was sent a full state
