Feature: What is refused, or waits, is refused for its own reason
  A scenario for each condition whose removal no other test was found to notice;
  docs/notes/refusals.md describes how these conditions were found.

  Scenario: A candidate counts no pre-vote of a voter that holds something newer
    Given voter a of a,b,c in term 3 with accepted 3.9
    When a requests pre-votes, and b grants one with accepted 3.10
    Then a starts no election
    When b grants a pre-vote with accepted 3.9
    Then a starts an election for term 4

  Scenario: A voter that has just voted asks for no pre-votes, as the winner may lead already
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b requests a vote for term 4
    Then a requests no pre-vote within 140 ms, though a quorum responds to its probes
    But a requests pre-votes later

  Scenario Outline: Who is named successor stands only if it may: <case>
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a follows b in term 3
    When <event>
    And b names a as its successor in term <term>
    Then a <reaction>
    Examples:
      | case                   | event               | term | reaction                   |
      | as it should be        | nothing happens     | 3    | starts an election at once |
      | an older term's leader | nothing happens     | 2    | starts no election         |
      | no leader is followed  | a loses its leader  | 3    | starts no election         |
      | it stops itself        | a is told to stop   | 3    | starts no election         |
      | its disk has failed    | a's disk has failed | 3    | starts no election         |

  Scenario: A leader of an older term is refused, and no lease is taken from it
    Given a proxy that follows b
    And it follows b in term 3
    When c sends it a heartbeat of term 2 with a lease grant for its last round
    Then it responds with a refusal in term 3, and holds no lease

  Scenario: A commit of an older term applies nothing
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b commits 3.9 in term 2
    Then a has committed version 0.0
    When b commits 3.9 in term 3
    Then a has committed version 3.9

  Scenario: A leader with nothing on its way steps down as well once no quorum answers
    Given voter a of a,b,c leads
    And its first version is committed
    When no node responds for 2000 ms
    Then a is candidate

  Scenario: A leader steps down for a node of a later term that asks to be a member
    Given voter a of a,b,c leads
    When d of term 9 requests to join
    Then a is candidate

  Scenario: Who does not lead makes nobody a member
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a follows b in term 3
    When d of term 3 requests to join
    Then a is follower
    And a sends nothing

  Scenario: A member that lacks a change gets no lease for an answer of after its commit
    Given a leader with a proxy that has a lease
    When a route changes and the proxy responds only to heartbeats for 3000 ms
    Then no lease is granted for a heartbeat sent after the change
    When the proxy responds to everything again for 1000 ms
    Then a lease is granted for a heartbeat sent after the change

  Scenario: A member that answered before the first version of a term gets no lease for that answer
    Given voter a of a,b,c leads, and proxy p is a member
    When p responds to a heartbeat with its committed version, and to nothing after that
    And the first version is committed, and b responds to heartbeats for 1000 ms
    Then p is granted no lease

  Scenario: A request that comes again while it is carried out is carried out once
    Given a leading control node whose voters have stopped responding
    When a proxy requests the next number twice with one key
    And the voters respond again
    Then the number has been advanced once, and the request gets one response

  Scenario: A late refusal of another node leaves the request to its own leader
    Given a proxy that follows b
    And it follows b in term 3
    When it requests an operation, and c responds that it came too late
    Then the request is still pending
    When b responds to it with status 200
    Then its result has status 200

  Scenario: A voter whose disk failed accepts nothing on top of what it could not write
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a's disk is full
    When b publishes 3.10 on 3.9 in term 3
    And a's disk has space again, and b publishes 3.11 on 3.10 in term 3
    Then no publication gets a response

  Scenario Outline: A file that is not what was written is damage: <damage>
    Given the files of voter a with versions up to 3.12 from snapshot 3.9
    When <damage>
    Then loading them gives corruption
    Examples:
      | damage                                                     |
      | a value in the newest version is altered                   |
      | the file of the newest version holds the version before it |

  Scenario: Changes that come in chunks are not taken for a whole state on disk
    Given voter a of a,b,c that writes a snapshot with every version
    When b sends versions 3.10 to 3.20, each in chunks, as changes of the one before
    Then its data folder holds all that it has accepted, in a snapshot

  Scenario: A node whose cluster was given up does nothing, over a restart too
    Given voter a of a,b,c whose cluster was abandoned for c2
    When b requests a vote for term 4
    Then a sends nothing
    And a probes nobody for 3000 ms

  Scenario Outline: A frame of a node that is no member breaks no leader: <kind>
    Given a control node that leads
    When z, which is not a member, sends a frame <kind>
    Then the node leads, and has sent z <answer>
    Examples:
      | kind     | answer  |
      | com_re   | nothing |
      | leave    | nothing |
      | piece_re | nothing |
      | pub_re   | nothing |
      | chk_re   | nothing |

  Scenario: A frame that a role has no use for is passed over
    Given a proxy that follows b
    And it follows b in term 3
    When b requests its vote for term 4
    Then a sends nothing

  Scenario: A publication that neither builds on a version nor is whole is counted as unreadable
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b publishes 3.10 with neither a base nor a full state
    Then one frame is counted as malformed, and gets no response

  Scenario: A node that does not stop is not ended by a release
    Given voter a of a,b,c in term 3 with accepted 3.9
    And a follows b in term 3
    When b releases a
    Then a does not exit within 1000 ms

  Scenario: A node that is told to stop a second time ends no later
    Given voter a of a,b,c in term 3 with accepted 3.9
    When a is told to stop, and again after 1000 ms
    Then a exits within 600 ms

  Scenario: A proxy is not moved by the end of a cluster that is not its own
    Given a proxy that follows b
    And it follows b in term 3
    When d of cluster c2 notifies it that cluster c3 was abandoned
    Then it still follows b

  Scenario: A publication of a term before the vote is refused
    Given voter a of a,b,c in term 3 with accepted 3.9
    When c requests a vote for term 5
    And b publishes 4.10 on 3.9 in term 4
    Then a responds not ok

  Scenario: A transfer that fits nothing here is refused with its first chunk
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b sends the first of two chunks of 3.12 on 3.10 in term 3
    Then a has accepted 3.9 and responds not ok

  Scenario Outline: A chunk counts only of the leader's term and on what is accepted: <case>
    Given voter a of a,b,c in term 3 with accepted 3.9
    When b sends the only chunk of <version> on <base> in term <term> with <digest>
    Then a has accepted <accepted> and responds <response>
    Examples:
      | case               | version | base | term | digest         | accepted | response |
      | as it should be    | 3.12    | 3.9  | 3    | its digest     | 3.12     | ok       |
      | of an older term   | 3.12    | 3.9  | 2    | its digest     | 3.9      | not ok   |
      | on another base    | 3.12    | 3.10 | 3    | its digest     | 3.9      | not ok   |
      | altered on its way | 3.12    | 3.9  | 3    | another digest | 3.9      | not ok   |
      | accepted already   | 3.9     | 3.8  | 3    | its digest     | 3.9      | ok       |
