Feature: Members catch up in pieces, by changes where that is less, and miss no heartbeat for it
  Consensus alone over rows without meaning (simulation.catch_up), over links of
  2 Mbit/s whose bytes count before compression, with five changes a second.

  Scenario: A wiped voter gets a state larger than any frame may be
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    When a voter returns empty over 2 Mbit/s while changes are made
    Then it has caught up within 15 s, and holds the leader's state
    And no frame to it was larger than 80 KB
    And it was never without a heartbeat for 900 ms, and never removed
    And the bytes of chunks sent are at most 1.1 times those of the state

  Scenario: A voter back after 2,000 changes is sent the changes
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    When a voter returns after 2000 changes over 2 Mbit/s while changes are made
    Then it has caught up within 15 s, and holds the leader's state
    And no frame to it was larger than 80 KB
    And it was never without a heartbeat for 900 ms, and never removed
    And no full state was sent
    And the bytes of chunks sent are at most 0.6 times those of the state

  Scenario: A voter back after 6,000 changes of 300 routes is sent only what is left of them
    Given three voters that hold 300 routes, with frames of 32768 KB at most
    When a voter returns after 6000 changes over 2 Mbit/s while changes are made
    Then it has caught up within 15 s, and holds the leader's state
    And the bytes of chunks sent are at most 1.2 times those of the state

  Scenario: A transfer goes on after a break where it stopped
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    When a voter returns empty over 2 Mbit/s while changes are made
    And it is cut off for 3 s once it has 8 chunks
    Then it has caught up within 20 s, and holds the leader's state
    And at most 8 chunks were sent twice

  Scenario: A transfer whose frames are lost is pressed on
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    When a voter returns empty over 2 Mbit/s while changes are made
    And a tenth of all frames is lost
    Then it has caught up within 90 s, and holds the leader's state

  Scenario: The master ends in the middle of a transfer
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    And a fourth member that only follows
    When its leader is replaced after it received 8 chunks over 2 Mbit/s
    Then it has caught up within 20 s

  Scenario Outline: A new master sends nobody a state that is there already
    Given three voters that hold 5000 routes, with frames of 32768 KB at most
    And a fourth member that only follows
    When all have caught up and <who> lose their power, and start again
    Then all have caught up within 10 s
    And no full state was sent
    Examples:
      | who                                    |
      | the leader's machine                   |
      | all voters                             |
      | all voters, one of them 20 changes ago |

  Scenario: A member of a release that reads no pieces gets the whole frame
    Given three voters that hold 1000 routes, with frames of 32768 KB at most
    And the third voter is of a release that does not read chunks
    When a voter returns empty over 100 Mbit/s while changes are made
    Then it has caught up within 10 s, and holds the leader's state
    And it was sent no chunks

  Scenario: A small state still goes as one frame
    Given three voters that hold 50 routes, with frames of 32768 KB at most
    When a voter returns empty over 100 Mbit/s while changes are made
    Then it has caught up within 10 s, and holds the leader's state
    And it was sent no chunks

  Scenario Outline: What came in pieces counts only whole, in order and as it was sent
    Given a follower that is sent a state in 5 chunks
    When <what>
    Then it holds <held>
    Examples:
      | what                                         | held      |
      | all arrive in order                          | the state |
      | all but the last arrive                      | nothing   |
      | one of them is missing                       | nothing   |
      | each arrives twice                           | the state |
      | a row of one is altered                      | nothing   |
      | the last arrives first                       | nothing   |
      | the first arrive again after another state's | the state |

  Scenario: A voter persists what came in pieces before it answers
    Given three voters that hold 5000 routes, with frames of 1000 KB at most
    When a voter returns empty over 2 Mbit/s while changes are made
    And its power fails in the write of the received chunks
    Then its acceptance of the transfer was never sent
