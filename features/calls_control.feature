Feature: An ask of the master acts once, whoever leads and however late its copies come
  docs/notes/worst-days/calls.md has the same rows in words.

  Scenario Outline: <op> acted under one master and is put again to the next, after <between>
    Given a core node that leads, for asks of all kinds
    When <op> is asked of it and done, and then <between>
    And another master leads, and the same ask comes again
    Then the copy is told <told>, and changes nothing
    Examples:
      | op           | between                        | told |
      | cell.empty   | the withdrawal                 | 504  |
      | lock.hold    | another holder's turn          | 409  |
      | lock.take    | another holder's turn          | 409  |
      | lock.renew   | another holder's turn          | 409  |
      | lock.yield   | the same holder's next turn    | 200  |
      | lock.free    | the same holder's next turn    | 200  |
      | number.next  | another number                 | 200  |
      | number.step  | another number                 | 200  |
      | cell.put     | another value                  | 200  |
      | key.put      | another value                  | 200  |
      | key.drop     | another value                  | 200  |
      | items.apply  | a higher version               | 200  |
      | config.apply | another configuration          | 200  |
      | claim        | its closing                    | 200  |
      | close        | the next attempt's claim       | 409  |
      | beat         | the draining                   | 200  |
      | leave        | a newcomer at the address      | 200  |

  Scenario: Every operation that acts has its row above
    Then the rows of asks name every operation that acts

  Scenario Outline: <op> that is held up on its way acts under no master
    Given a core node that leads, for asks of all kinds
    When <op> is asked of it by a frame that names <seen>
    Then the ask is <taken>
    Examples:
      | op         | seen                                | taken               |
      | cell.empty | its newest round                    | done                |
      | cell.empty | a round of 2 s ago                  | left, and told so    |
      | cell.empty | a round of another master           | left, and told so    |
      | cell.empty | a round that never was              | left, and told so    |
      | cell.empty | no round, as the level before       | done                |
      | lock.hold  | a round of 2 s ago                  | left, and told so    |
      | cell.put   | a round of 2 s ago                  | left, and told so    |
      | beat       | a round of 2 s ago                  | left, and told so    |

  Scenario: An ask names the newest round of the master that it is put to, and the term that it was first put in
    Given a core node that follows, and asks b to empty a cell
    When c leads the next term instead
    Then c is asked only once it has checked the node, and told of the earlier term

  Scenario: What was put to an older master and is not known again is unknown to a node that leads itself
    Given a core node that follows, and asks b to empty a cell
    When the node itself leads the next term
    Then the call is told 504 and nothing is emptied

  Scenario: A beat put twice is one beat to an endpoint that is taken for cold
    Given a core node that leads, for asks of all kinds
    When an endpoint beats, its cell is emptied and taken back, and one late beat comes twice
    Then the endpoint is still taken for cold
    And the next beat but one warms it

  Scenario Outline: A probe's answer counts only for its own asking
    Given a core node that leads, for asks of all kinds
    When a probe of an endpoint is under way and <whose> answers that it is gone
    Then that endpoint is <left>
    Examples:
      | whose                                  | left |
      | another node                           | kept |
      | the prober, to an earlier asking       | kept |
      | the prober                             | gone |
      | the prober, as the level before        | gone |

  Scenario Outline: A kept outcome is handed on only to the request that it is of
    Given a proxy that asks another for the outcome of request 5.a
    When it is answered <what>
    Then the caller of 5.a is told <told>
    Examples:
      | what                                  | told    |
      | the outcome of 5.b                    | nothing |
      | the outcome of 5.a                    | 200     |
      | an outcome without an id              | 504     |

  Scenario Outline: Asks doubled, held up, sent to old and new masters, and their answers lost, seed <seed>
    Given a core of three whose asks are copied up to 9 s late to all of them, and their answers lost, under seed <seed>
    When callers give orders, locks, numbers, values and beats for 90 s while masters die, freeze and are cut off
    Then after each acknowledgement its effect stands until the next order
    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
