Feature: One content to a version, and an order that is sent again

  Scenario Outline: A change after others: <before> | <call>
    The first change sets r1 to version 3, with pool p.
    Given a store of items whose first change sets p:1 and r1:3=a>p
    When the changes <before> are made
    And the change <call> is requested
    Then it gets <status>, and r1 is <rule>, also when read back
    And a refusal names <named>, and no part of the change was applied
    Examples: one number, two contents
      | before               | call                    | status | rule    | named      |
      | none                 | r1:3=a>p                | 200    | 3=a>p   | nothing    |
      | none                 | r1:3=b>p                | 409    | 3=a>p   | r1:3       |
      | none                 | r1:3-                   | 409    | 3=a>p   | r1:3       |
      | none                 | r1:3=b>p + r2:9=a>p     | 409    | 3=a>p   | r1:3       |
      | r2:5=a>p             | r1:3=b>p + r2:5=b>p     | 409    | 3=a>p   | r1:3, r2:5 |
      | r1:5-                | r1:5=b>p                | 409    | 5-      | r1:5       |
      | r1:5-                | r1:5-                   | 200    | 5-      | nothing    |
      | none                 | r1:9=a>p + r1:9=b>p     | 409    | 3=a>p   | r1:9       |
      | none                 | r1:9=a>p + r1:9=a>p     | 200    | 9=a>p   | nothing    |
      | none                 | r1:9=a>p + r1:9-        | 409    | 3=a>p   | r1:9       |
      | none                 | p:1=b                   | 409    | 3=a>p   | p:1        |
      | limits:4=a           | limits:4=b              | 409    | 3=a>p   | limits:4   |
      | limits:4=a           | limits:4=a              | 200    | 3=a>p   | nothing    |
    Examples: below the version that stands
      | before               | call                    | status | rule    | named      |
      | r1:7=b>p             | r1:3=a>p                | 200    | 7=b>p   | nothing    |
      | r1:7=b>p             | r1:3=b>p                | 409    | 7=b>p   | r1:3       |
      | r1:7=b>p             | r1:5=b>p                | 200    | 7=b>p   | nothing    |
      | r1:7=b>p, r1:5=b>p   | r1:5=b>p                | 200    | 7=b>p   | nothing    |
      | r1:7=b>p, r1:5=b>p   | r1:5=c>p                | 409    | 7=b>p   | r1:5       |
      | r1:7=b>p, r1:5-      | r1:5=c>p                | 409    | 7=b>p   | r1:5       |
      | r1:7-, r1:9=b>p      | r1:7=c>p                | 409    | 9=b>p   | r1:7       |
      | r1:7-, r1:9=b>p      | r1:7-                   | 200    | 9=b>p   | nothing    |
      | none                 | r1:1=b>p + r1:9=c>p     | 200    | 9=c>p   | nothing    |
    Examples: sent again whatever was dropped or changed since
      | before                        | call           | status | rule  | named   |
      | p:4-                          | r1:3=a>p       | 200    | 3=a>p | nothing |
      | p:4-                          | p:1 + r1:3=a>p | 200    | 3=a>p | nothing |
      | r1:4-, p:4-                   | p:1 + r1:3=a>p | 200    | 4-    | nothing |
      | r1:4-, p:4-                   | r1:3=b>p       | 409    | 4-    | r1:3    |
      | q:2, r1:4=b>q, q:9-           | r1:4=b>q       | 200    | 4=b>q | nothing |
      | q:2, r1:4=b>q, q:9-, r1:7=a>p | r1:4=b>q       | 200    | 7=a>p | nothing |
    Examples: a pool that is not there
      | before               | call                    | status | rule    | named      |
      | none                 | r1:9=b>q                | 400    | 3=a>p   | nothing    |
      | none                 | r1:2=b>q                | 400    | 3=a>p   | nothing    |
      | none                 | r2:9=a>p + r1:9=b>q     | 400    | 3=a>p   | nothing    |
      | p:4-                 | r1:9=a>p                | 400    | 3=a>p   | nothing    |
      | p:4-                 | p:1 + r1:9=a>p          | 400    | 3=a>p   | nothing    |
      | p:4-                 | p:5 + r1:9=a>p          | 200    | 9=a>p   | nothing    |
      | none                 | q:2 + r1:9=b>q          | 200    | 9=b>q   | nothing    |
      | none                 | p:9- + r1:9=b>p         | 400    | 3=a>p   | nothing    |

  Scenario Outline: What was acknowledged is known after <event>
    Given a store of items whose first change sets p:1 and r1:3=a>p
    When the changes r1:7=b>p, r1:5=c>p, r2:2=a>p, r2:6-, <event> are made
    Then the changes r1:3=a>p, r1:5=c>p, r1:7=b>p, r2:2=a>p, r2:6- are each acknowledged and change nothing
    And the changes r1:3=c>p, r1:5=a>p, r1:7-, r2:2-, r2:6=a>p are each refused with 409
    Examples:
      | event                    |
      | restart                  |
      | restart, restart         |
      | checkpoint, restart      |
      | snapshot                 |
      | snapshot, restart        |
      | p:4-, snapshot, restart  |

  Scenario: A disk of the release before is read, and its standing versions keep their contents
    Given a store of items whose first change sets p:1 and r1:3=a>p
    When the changes r1:7=b>p, r1:9-, old disk are made
    Then the changes r1:9-, r1:3=a>p, r1:7=b>p are each acknowledged and change nothing
    And the changes r1:9=b>p are each refused with 409

  Scenario: Of what is not known to be free, no number is given to a content below the one that stands
    An accepted change must not be refused because the content of another change was recorded for its version.
    Given a store of items whose first change sets p:1 and r1:3=a>p
    When the changes r1:7=b>p, old disk, r1:3=c>p are made
    Then the changes r1:3=a>p are each acknowledged and change nothing

  Scenario: The memory is bounded, and what was forgotten is acknowledged as older
    Given a store of items whose first change sets p:1 and r1:3=a>p
    When the changes r1:4=b>p, r1:5=c>p are made, with room for 2 digests
    And an epoch later r1 is changed to 6, 7 and 8, and another epoch passes
    Then 2 digests are retained, those of 6 and 7
    And the changes r1:3=a>p, r1:3=c>p, r1:4=b>p, r1:7=a>p, r1:8=a>p are each acknowledged and change nothing
    And the changes r1:7=c>p, r1:8=c>p are each refused with 409

  Scenario Outline: Numbers that only look different are one content: <one> and <other>
    Then contents of a rule with x of <one> and of <other> are <same>
    Examples:
      | one           | other           | same      |
      | 3             | 3.0             | one       |
      | 3             | 3.5             | different |
      | 1             | true            | different |
      | {"a":[0]}     | {"a":[false]}   | different |
      | NaN           | NaN             | one       |
      | "3"           | 3               | different |
      | {"a":1,"b":2} | {"b":2,"a":1.0} | one       |
      | [1,2]         | [2,1]           | different |

  Scenario: The digests go to voters alone, and nobody reads them back
    Given a small core of open traffic
    When r-search is changed three times
    Then every voter holds digests, every proxy holds none, and a read-back shows none

  Scenario Outline: Operators race under one number, lose acknowledgements and send again, seed <seed>
    Given concurrent operators while control nodes fail, seed <seed>
    Then no version was acknowledged with two contents, no accepted change was refused, and all of them are read back
    And there were refusals by 409, and 8 or more concurrent changes
    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: With too little room to remember overtaken versions, no taken order is refused, seed <seed>
    Given room for 10 digests
    And concurrent operators while control nodes fail, seed <seed>
    Then digests were discarded, and the only violations are that superseded versions could be used again
    Examples:
      | seed |
      | 1    |
      | 3    |
      | 8    |

  Scenario Outline: An evacuation that comes late or again: <steps>
    Given a control node that serves evacuation commands
    When its zone gets the commands <steps>
    Then the zone is <state> and the responses were <responses>
    Examples:
      | steps                                | state     | responses          |
      | on a:0                               | evacuated | 200                |
      | on a:0, on a:0                       | evacuated | 200, 200           |
      | on a:0, off b:1, on a:0              | not       | 200, 200, 200      |
      | on a:0, off b:1, new master, on a:0  | not       | 200, 200, 200      |
      | on a:0, off b:1, new master, off b:1 | not       | 200, 200, 200      |
      | on a:0, off b:1, on c:0              | not       | 200, 200, 409      |
      | off b:0, on c:0                      | not       | 200, 409           |
      | off b:0, new master, on c:0          | not       | 200, 409           |
      | on a:0, off b:1, on c:2, off b:1     | evacuated | 200, 200, 200, 200 |
      | on a:0, off c:0                      | evacuated | 200, 409           |
      | on, off, on                          | evacuated | 200, 200, 200      |
      | on, off c:0                          | evacuated | 200, 409           |

  Scenario Outline: A copy of an evacuation that was held up does not act after <after>
    Given a small core of open traffic
    When an evacuation is delayed <where>, its caller disconnects, and <after> is acknowledged by another node
    Then the zone is as <after> left it after the copy has arrived
    Examples:
      | where                        | after                        |
      | on its way to the leader     | a withdrawal                 |
      | on its way to the leader     | an evacuation and withdrawal |
      | at a frozen node             | a withdrawal                 |
      | at a frozen node             | an evacuation and withdrawal |
      | at the leader, frozen        | a withdrawal                 |
      | at the leader, frozen        | an evacuation and withdrawal |

  Scenario Outline: Over real sockets, an evacuation left at a stopped <process> does not act when that goes on
    Given a deployment of three control nodes
    When the <process> is stopped, an evacuation is left in its socket by a caller that disconnects, and one is withdrawn elsewhere
    Then once it continues and responds again, the zone is not evacuated
    Examples:
      | process  |
      | follower |
      | master   |

  Scenario: An evacuation that other orders come before is put again while its caller waits
    Given a small core of open traffic
    When eight evacuations of a zone and eight of another are requested at once, at all nodes
    Then each is acknowledged and both zones are evacuated

  Scenario: A master of the release before takes an evacuation
    Given a small core of open traffic whose leader does not know evacuation commands
    When a zone is evacuated through another node
    Then it is acknowledged and the zone is evacuated
