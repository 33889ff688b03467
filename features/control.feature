Feature: What the control plane promised holds under repeats, late frames and new masters
  One control node under test; its partners' answers are played. Each row was
  first seen to fail (the commits say how).

  Scenario Outline: A refusal is a promise only where no other copy of the ask can act
    Given a control node that follows b
    When a caller asks for a number, it is put to b <puts> times and b answers <answer>
    Then the caller is told <told>
    Examples:
      | puts | answer | told    |
      | 1    | 503    | 503     |
      | 2    | 503    | 504     |
      | 2    | 429    | 504     |
      | 2    | 409    | 409     |
      | 2    | 200    | 200     |
      | 2    | 421    | nothing |

  Scenario Outline: What was put to an older master is never called refused by the next
    Given a control node that follows b
    When a caller asks for a number, it is put to b <puts> times and the node leads but is deposed at once
    Then the caller is told <told>
    Examples:
      | puts | told |
      | 0    | 503  |
      | 1    | 504  |

  Scenario Outline: A node without a master says so once an election's time has gone by
    Given a control node that follows b
    When its master is lost, and <ms> ms later a caller asks for a number and <more> ms go by
    Then the caller is told <told>
    Examples:
      | ms   | more | told    |
      | 100  | 190  | nothing |
      | 100  | 210  | 503     |
      | 1000 | 10   | 503     |

  Scenario: What was put to a master that is lost is not called refused
    Given a control node that follows b
    When a caller asks for a number, b is lost, and 290 ms go by
    Then the caller is told nothing
    And 20 ms later the caller is told 504

  Scenario: What nobody waits for any more is not put to the next master
    Given a control node that follows b
    When a caller asks for a number and hangs up
    And b is lost and c leads
    Then nothing is asked of c

  Scenario: A copy of an ask gets the outcome that it had
    Given a control node that leads
    When b asks for lock l twice under one key
    Then both copies are told the same fence

  Scenario: Another life of a node does not get its last life's outcomes
    Given a control node that follows b
    Then its first ask has another key than the first ask of its last life

  Scenario Outline: A lock is not given away before its holder must have stopped
    Given a control node that leads
    When x holds lock l for 5000 ms
    And x <asks> for 500 ms
    And <between>
    And 3000 ms go by
    Then y asking for lock l is told 409
    And 3000 ms later y asking for lock l is told 200
    Examples:
      | asks           | between            |
      | holds lock l   | nothing happens    |
      | holds lock l   | the master changes |
      | renews lock l  | nothing happens    |
      | renews lock l  | the master changes |
      | takes lock l   | nothing happens    |

  Scenario: A new master gives no lock away before it knows who holds it
    Given a control node that leads
    When x holds lock l for 5000 ms
    And the master changes, and y asks for lock l before the new one's first generation is in force
    Then y is told 409

  Scenario Outline: Late beats undo nothing
    Given a control node that leads
    When the beats <beats> come of endpoints as number state
    Then the endpoints are <left>
    Examples:
      | beats                                         | left               |
      | p:4 ready, p:5 draining                       | p draining         |
      | p:5 draining, p:4 ready                       | p draining         |
      | p:5 draining, new master, p:4 ready           | p draining         |
      | p:4 ready, p:5 draining, new master, p:3 ready | p draining        |
      | p:5 draining, new master, p:6 ready           | p ready            |
      | p:4 ready, p gone, p:5 ready                  | p ready            |
      | p:5 draining, p gone, p:4 ready               | none               |
      | p:5 draining, p gone, new master, p:6 ready   | none               |
      | p:4 ready, p leaves, p:5 ready                | none               |
      | p:4 ready, p leaves, new master, p:5 ready    | none               |
      | p:4 ready, q:1 ready at p                     | q ready            |
      | p:4 ready, q:1 ready at p, p:3 ready          | q ready            |
      | p:4 ready, p gone, q:1 ready at p, p:5 ready  | q ready            |
      | p:4 ready, q:1 ready at p, q gone, p:5 ready  | p ready            |

  Scenario Outline: Endpoints of a cell that was emptied are cold until two beats of their own say otherwise
    Given a control node that leads
    When the beats <beats> come of endpoints as number state
    Then p is taken for <warmth>
    Examples:
      | beats                                                      | warmth |
      | p:1 ready                                                  | warm   |
      | p:1 cold                                                   | cold   |
      | p:1 ready, emptied, taken back                             | cold   |
      | p:1 ready, emptied, taken back, p:2 ready                  | cold   |
      | p:1 ready, emptied, taken back, new master, p:2 ready      | cold   |
      | p:1 ready, emptied, taken back, p:2 ready, p:3 ready       | warm   |
      | p:1 ready, emptied, taken back, p:2 ready, p:3 cold        | cold   |

  Scenario: A master whose disk fails names who leads next, and tells all that it doesn't
    Given a control node that leads
    When the disk of the node fails
    Then the node tells b to succeed it
    And the node tells c that it steps down

  Scenario Outline: Who is told that its master steps down looks for another at once
    Given a control node that follows b
    When the node hears <who> step down from term <term>
    Then the node is then a <mode>
    Examples:
      | who | term | mode      |
      | b   | 3    | candidate |
      | c   | 3    | follower  |
      | b   | 2    | follower  |

  Scenario: A voter that was started again learns what is committed, though nothing new is published
    Given a control node that leads
    When b is started again from its disk and 1000 ms go by
    Then b knows what is committed

  Scenario: Members of a new master have leases before its second check
    Given a control node that has just won an election
    When 100 ms go by
    Then b has been granted a lease, by an answer from before the round it rests on

  Scenario Outline: A read needs a round of its own only where no publication follows it
    Given a control node that leads
    When the node gets a read and <then> within the gathering time
    Then so the node answers it, after <rounds> rounds of its own
    Examples:
      | then           | rounds |
      | nothing else   | 1      |
      | a write        | 0      |

  Scenario: The voters that lost a master stand one after the other
    Given voters a, b, c, d and e that lost their master at the same moment
    Then the first two of them stand at least 35 ms apart, whatever the term
