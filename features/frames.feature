Feature: Frames as they were written are read, and written the same again
  features/data/frames.json holds a frame of each form that simulated fleets sent
  when it was recorded; features/support/frame_samples.py lists the scenarios.

  Scenario: Each recorded frame is decoded, and encoded to the same bytes
    Given the recorded frames
    When each is decoded and encoded again
    Then all are the same, byte for byte
    And there is one of every kind of message, with every field that it may have
