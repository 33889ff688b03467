Feature: What the control plane promised holds under repeats, late frames and new masters
  One control node is under test; the responses of its peers are scripted. Each
  row failed before the fix that it guards (see the commits).

  Scenario Outline: A refusal is a promise only where no other copy of the ask can act
    Given a control node that follows b
    When a caller requests a number, the request is forwarded to b <forwards> times and b responds <status>
    Then the caller gets <result>
    Examples:
      | forwards | status | result  |
      | 1        | 503    | 503     |
      | 2        | 503    | 504     |
      | 2        | 429    | 504     |
      | 2        | 409    | 409     |
      | 2        | 200    | 200     |
      | 2        | 421    | nothing |

  Scenario Outline: What was put to an older master is never called refused by the next
    Given a control node that follows b
    When a caller requests a number, the request is forwarded to b <forwards> times and the node becomes leader but is deposed at once
    Then the caller gets <result>
    Examples:
      | forwards | result |
      | 0        | 503    |
      | 1        | 504    |

  Scenario Outline: A node without a master says so once an election's time has gone by
    Given a control node that follows b
    When its leader is lost, and <ms> ms later a caller requests a number and <more> ms pass
    Then the caller gets <result>
    Examples:
      | ms   | more | result  |
      | 100  | 190  | nothing |
      | 100  | 210  | 503     |
      | 1000 | 10   | 503     |

  Scenario: What was put to a master that is lost is not called refused
    Given a control node that follows b
    When a caller requests a number, b is lost, and 290 ms pass
    Then the caller gets nothing
    And 20 ms later the caller gets 504

  Scenario: What nobody waits for any more is not put to the next master
    Given a control node that follows b
    When a caller requests a number and disconnects
    And b is lost and c leads
    Then no request is forwarded to c

  Scenario: A copy of an ask gets the outcome that it had
    Given a control node that leads
    When b requests lock l twice under the same key
    Then both copies get the same fence

  Scenario: Another life of a node does not get its last life's outcomes
    Given a control node that follows b
    Then its first request has another key than the first request of its previous run

  Scenario Outline: A lock is not given away before its holder must have stopped
    Given a control node that leads
    When x holds lock l for 5000 ms
    And x <requests> for 500 ms
    And <between>
    And 3000 ms go by
    Then y requesting lock l gets 409
    And 3000 ms later y requesting lock l gets 200
    Examples:
      | requests       | between            |
      | holds lock l   | nothing happens    |
      | holds lock l   | the leader changes |
      | renews lock l  | nothing happens    |
      | renews lock l  | the leader changes |
      | takes lock l   | nothing happens    |

  Scenario: A new master gives no lock away before it knows who holds it
    Given a control node that leads
    When x holds lock l for 5000 ms
    And the leader changes, and y requests lock l before the new one's first generation is in force
    Then y gets 409

  Scenario Outline: Late beats undo nothing
    Given a control node that leads
    When the heartbeats <heartbeats> of endpoints arrive, each as ID:NUMBER STATE
    Then the endpoints are <left>
    Examples:
      | heartbeats                                      | left       |
      | p:4 ready, p:5 draining                         | p draining |
      | p:5 draining, p:4 ready                         | p draining |
      | p:5 draining, new leader, p:4 ready             | p draining |
      | p:4 ready, p:5 draining, new leader, p:3 ready  | p draining |
      | p:5 draining, new leader, p:6 ready             | p ready    |
      | p:4 ready, p removed, p:5 ready                 | p ready    |
      | p:5 draining, p removed, p:4 ready              | none       |
      | p:5 draining, p removed, new leader, p:6 ready  | none       |
      | p:4 ready, p leaves, p:5 ready                  | none       |
      | p:4 ready, p leaves, new leader, p:5 ready      | none       |
      | p:4 ready, q:1 ready at p                       | q ready    |
      | p:4 ready, q:1 ready at p, p:3 ready            | q ready    |
      | p:4 ready, p removed, q:1 ready at p, p:5 ready | q ready    |
      | p:4 ready, q:1 ready at p, q removed, p:5 ready | p ready    |

  Scenario Outline: Endpoints of a cell that was emptied are cold until two beats of their own say otherwise
    Given a control node that leads
    When the heartbeats <heartbeats> of endpoints arrive, each as ID:NUMBER STATE
    Then p counts as <warmth>
    Examples:
      | heartbeats                                            | warmth |
      | p:1 ready                                             | warm   |
      | p:1 cold                                              | cold   |
      | p:1 ready, evacuated, restored                        | cold   |
      | p:1 ready, evacuated, restored, p:2 ready             | cold   |
      | p:1 ready, evacuated, restored, new leader, p:2 ready | cold   |
      | p:1 ready, evacuated, restored, p:2 ready, p:3 ready  | warm   |
      | p:1 ready, evacuated, restored, p:2 ready, p:3 cold   | cold   |

  Scenario: A master whose disk fails names who leads next, and tells all that it doesn't
    Given a control node that leads
    When the disk of the node fails
    Then the node asks b to succeed it
    And the node tells c that it steps down

  Scenario Outline: Who is told that its master steps down looks for another at once
    Given a control node that follows b
    When the node is told that <who> steps down from term <term>
    Then the node is then a <mode>
    Examples:
      | who | term | mode      |
      | b   | 3    | candidate |
      | c   | 3    | follower  |
      | b   | 2    | follower  |

  Scenario: A voter that was started again learns what is committed, though nothing new is published
    Given a control node that leads
    When b is started again from its disk and 1000 ms go by
    Then b knows the committed version

  Scenario: Members of a new master have leases before its second check
    Given a control node that has just won an election
    When 100 ms go by
    Then b has been granted a lease, for its response to a round before the newest one with a quorum

  Scenario Outline: A read needs a round of its own only where no publication follows it
    Given a control node that leads
    When the node receives a read and <then> within the gathering time
    Then the node responds to the read after <rounds> further heartbeat rounds
    Examples:
      | then           | rounds |
      | nothing else   | 1      |
      | a write        | 0      |

  Scenario: The voters that lost a master stand one after the other
    Given voters a, b, c, d and e that lost their leader at the same moment
    Then the first two of them start elections at least 35 ms apart, in every term
