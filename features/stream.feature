Feature: Frames between processes share one stream a connection
  Most of a frame repeats the frame before it, so that a peer whose level reads streams gets frames compressed as one.

  Scenario Outline: Frames arrive as they were, streamed to who reads streams
    Given a connection to a process of level <level>
    When 200 frames of all sizes are sent
    Then they arrive complete and in order
    And the connection carries <size> of their bytes
    Examples:
      | level   | size             |
      | unknown | all              |
      | 1       | all              |
      | 2       | under two thirds |
      | 3       | under two thirds |

  Scenario: Frames that waited for the connection are in its stream, too
    Given a connection to a process of level 2 that comes up late
    When 200 frames of all sizes are sent
    Then they arrive complete and in order

  Scenario: A new connection begins a new stream
    Given a connection to a process of level 2
    When 200 frames of all sizes are sent
    And the connection breaks and 200 more are sent over the next
    Then they arrive complete and in order

  Scenario Outline: A stream that can not be read ends the connection, and nothing of it is used
    Given a connection to a process of level 2
    When the other side receives <what>
    Then it closes the connection and delivers no frame
    Examples:
      | what                                   |
      | a stream with a flipped byte           |
      | a frame that decompresses to the limit |
      | a stream that ends                     |
