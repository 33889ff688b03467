Feature: Control costs each role no more than docs/CAPACITY.md says
  The instrument runs small, over the two smallest sizes of a sweep, and its
  counts of messages and bytes are held against the slopes on record. Times
  are not: machines differ.

  Scenario Outline: Over <sweep>, no role sends and gets more than is on record
    When the two smallest sizes of <sweep> are measured
    Then no role's messages and bytes, quiet or for a change, are above the record
    And no row of the state takes more bytes than on record
    Examples:
      | sweep     |
      | nodes     |
      | endpoints |
      | routes    |
      | pools     |
      | claims    |

  Scenario Outline: What costs more is noticed
    When the two smallest sizes of nodes are measured, and <fault>
    Then <figure> is above the record
    Examples:
      | fault                                 | figure                |
      | each member answers every check twice | quiet/prox/messages   |
      | each check tells 100 bytes more       | quiet/master/bytes    |
      | each change is published twice        | change/master/bytes   |

  Scenario Outline: A slope is told with how far it can be trusted
    When a slope is fitted to <points>
    Then it is <a> + <b> x, and called <straight>
    Examples:
      | points                       | a | b | straight   |
      | 10:25 100:205 1000:2005      | 5 | 2 | linear     |
      | 10:7 100:7 1000:7            | 7 | 0 | linear     |
      | 10:100 100:10000 1000:999999 | - | - | not linear |

  Scenario: A lost node, a restart and a parted node are settled in the small instrument
    When 10 hollow nodes lose one, restart one and are parted from one
    Then all of them are led again each time, within a lease and an election
