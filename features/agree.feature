Feature: The agreement keeps to DESIGN-zinctrail.md
  Tables taken from its second paragraph: terms, votes, quorums, publication,
  pre-vote, step-down, recovery. The versions are written TERM.NUMBER.

  Scenario Outline: A quorum is a strict majority, and in both configurations during a change
    When <nodes> agree, with committed voters <committed> and accepted voters <accepted>
    Then that is <verdict>
    Examples:
      | nodes     | committed | accepted | verdict   |
      | a,b       | a,b,c     | a,b,c    | a quorum  |
      | a         | a,b,c     | a,b,c    | no quorum |
      | a,b       | a,b,c,d   | a,b,c,d  | no quorum |
      | a,b,c     | a,b,c,d   | a,b,c,d  | a quorum  |
      | a,b       | a,b,c     | c,d,e    | no quorum |
      | c,d       | a,b,c     | c,d,e    | no quorum |
      | b,c,d     | a,b,c     | c,d,e    | a quorum  |
      | a,b,x,y,z | a,b,c     | c,d,e    | no quorum |
      | a         | a         | a        | a quorum  |
      |           | a,b,c     | a,b,c    | no quorum |

  Scenario Outline: A node votes once a term, and its vote is durable before it leaves
    Given voter a of a,b,c in term <term> with accepted <accepted>
    When b requests a vote for term <asked>
    Then a's vote <vote>
    Examples:
      | term | accepted | asked | vote                    |
      | 3    | 3.9      | 4     | is sent after its write |
      | 3    | 3.9      | 3     | is not sent             |
      | 3    | 3.9      | 2     | is not sent             |
      | 3    | 2.9      | 9     | is sent after its write |

  Scenario: A second candidate of the same term gets no vote
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b requests a vote for term 4
    And c requests a vote for term 4
    Then a's vote is not sent

  Scenario: A node that remembers nothing never votes
    Given an empty node a
    When b requests a vote for term 4
    Then a's vote is not sent

  Scenario: A vote that could not be written does not leave
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a's disk is full
    When b requests a vote for term 4
    Then a's vote is not sent

  Scenario Outline: A candidate counts only votes that are not ahead of it
    Given voter a of a,b,c in term 3 with accepted 3.9
    When a starts an election and b votes with accepted <theirs>
    Then a is <mode>
    Examples:
      | theirs | mode      |
      | 3.9    | leader    |
      | 3.8    | leader    |
      | 2.50   | leader    |
      | 3.10   | candidate |
      | 4.1    | candidate |

  Scenario Outline: A pre-vote is answered only by who knows no active leader
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a is <mode>
    When c requests a pre-vote
    Then a's pre-vote <verdict>
    Examples:
      | mode          | verdict     |
      | candidate     | is sent     |
      | follower of b | is not sent |
      | leader        | is not sent |

  Scenario Outline: The term stood for is above everything seen
    Given voter a of a,b,c in term <own> with accepted 3.9
    When a receives a pre-vote of b in term <seen>
    Then a starts an election for term <next>
    Examples:
      | own | seen | next |
      | 3   | 3    | 4    |
      | 3   | 7    | 8    |
      | 9   | 4    | 10   |

  Scenario Outline: A publication is taken only in order and of this term or a later one
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b publishes <at> on <base> in term <term>
    Then a responds <response>
    Examples:
      | term | at   | base    | response           |
      | 3    | 3.10 | 3.9     | ok after its write |
      | 3    | 3.11 | 3.10    | not ok             |
      | 3    | 3.9  | 3.8     | ok                 |
      | 3    | 3.8  | 3.7     | not ok             |
      | 2    | 2.10 | 3.9     | not ok             |
      | 4    | 4.10 | 3.9     | ok after its write |
      | 4    | 4.20 | no base | ok after its write |
      | 3    | 3.5  | no base | not ok             |

  Scenario Outline: Only what was accepted is committed, and nothing goes back
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b publishes 3.10 on 3.9 in term 3
    And b commits <at> in term <term>
    Then a has committed version <committed>
    Examples:
      | term | at   | committed |
      | 3    | 3.10 | 3.10      |
      | 3    | 3.11 | 0.0       |
      | 3    | 3.9  | 3.9       |
      | 2    | 3.10 | 0.0       |

  Scenario Outline: A master steps down when it can not go on
    Given voter a of a,b,c leads
    When <event>
    Then a is <mode>
    Examples:
      | event                                          | mode      |
      | no node responds for 1300 ms                   | candidate |
      | a version is accepted by no quorum for 1300 ms | candidate |
      | b responds to a heartbeat in a later term      | candidate |
      | its disk is full and it has to write           | candidate |
      | b requests a vote of a for a later term        | candidate |
      | b responds to heartbeats for 1300 ms           | leader    |

  Scenario: Nothing is published behind an uncommitted change of the voting set
    Given voter a of a,b,c leads
    And its first version is committed
    When d replaces c in the voting set, and a zone is changed right after
    Then only the change of the voting set is published for 300 ms, while b responds only to heartbeats
    And the change of the zone is published within 50 ms of b accepting the voting set

  Scenario Outline: A read is answered only after a quorum answered a round begun after it
    Given voter a of a,b,c leads
    And its first version is committed
    When a read arrives and b responds to <round>
    Then the read is <verdict>
    Examples:
      | round                     | verdict      |
      | nothing                   | not answered |
      | the round before the read | not answered |
      | a round started after it  | answered     |

  Scenario: A voter that is no member yet still counts for the first generation
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a's state lists no member but a
    When a starts an election and b votes with accepted 3.9
    Then b is sent the first version
    And b's acceptance commits it

  Scenario Outline: What was acknowledged is read back, or the node does not vote as itself
    Given the files of voter a with versions up to 3.12 from snapshot 3.9
    When <damage>
    Then loading them gives <verdict>
    Examples:
      | damage                                  | verdict    |
      | they are left unchanged                 | 3.12       |
      | a bit of the newest version is flipped  | corruption |
      | a middle version is removed             | corruption |
      | a bit of the snapshot is flipped        | corruption |
      | a bit of the term file is flipped       | corruption |
      | the term file is removed                | corruption |
      | the node file is removed                | corruption |
      | a version of an older term is left over | 3.12       |
      | everything is removed                   | empty      |

  Scenario: A grant that is late on the wire does not stretch a lease
    Given a proxy that follows b
    When it responds to heartbeat 7 and the lease grant for it arrives 2000 ms later
    Then its lease ends 2400 ms after it responded
    And a grant for a heartbeat that it never responded to changes nothing

  Scenario Outline: A check for whoever was at this address before is answered by joining
    Given a proxy without a leader
    When b's heartbeat for <whom> arrives
    Then it <reaction>
    Examples:
      | whom         | reaction                  |
      | itself       | responds to the heartbeat |
      | another node | asks to join              |

  Scenario Outline: Bounds are checked together
    When duration <name> is set to <ms> ms
    Then that is <verdict>
    Examples:
      | name   | ms   | verdict  |
      | lease  | 2400 | accepted |
      | lease  | 3000 | refused  |
      | lease  | 1000 | refused  |
      | answer | 5000 | accepted |
      | answer | 6000 | refused  |
      | check  | 0    | refused  |
      | check  | 700  | refused  |

  Scenario: A folder as the first landing wrote it is read and gone on with
    Given the folder of format 1
    When a control node starts on it
    Then it has the settings, the key, the number and the lock, and is of format 2
    And the lock is renewed by its holder, refused to another holder, and released under the id it was taken with

  Scenario: A folder of a newer program is refused and left untouched
    Given the folder of format 1
    But its format is set to 99
    When zinctrail-controller is started on it
    Then it exits with code 2, names both formats, and every file is unchanged
