Feature: Frames between processes share one stream a connection
  Most of a frame was in the frame before it; who reads streams is sent them.

  Scenario Outline: Frames arrive as they were, streamed to who reads streams
    Given a connection to a process of level <level>
    When 200 frames of all sizes are sent
    Then they arrive whole and in order
    And what went out is <size> of them
    Examples:
      | level   | size             |
      | unknown | all              |
      | 1       | all              |
      | 2       | under two thirds |
      | 3       | under two thirds |

  Scenario: Frames that waited for the connection are in its stream, too
    Given a connection to a process of level 2 that comes up late
    When 200 frames of all sizes are sent
    Then they arrive whole and in order

  Scenario: A new connection begins a new stream
    Given a connection to a process of level 2
    When 200 frames of all sizes are sent
    And the connection breaks and 200 more are sent over the next
    Then they arrive whole and in order

  Scenario Outline: A stream that can not be read ends the connection, and nothing of it is used
    Given a connection to a process of level 2
    When the other side is sent <what>
    Then it closes the connection without a frame
    Examples:
      | what                              |
      | a stream with a flipped byte      |
      | a frame that unfolds to the bound |
      | a stream that says it is over     |
