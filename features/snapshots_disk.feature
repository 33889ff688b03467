Feature: A loss of power at any step of a write leaves a folder that loads
  After a loss of power each entry of a folder that was made, renamed or removed
  since the folder was last synced may be kept or lost by itself, and bytes not
  synced may be old, new or torn. Every such folder is tried.

  Scenario Outline: No voter forgets what it acknowledged, whatever is kept of its folder
    Given a modelled folder on which a voter of a <size> state writes terms, changes and checkpoints
    When the power is lost at each step, with each choice of entries and bytes kept
    Then every folder left loads a state no older than the last acknowledgement
    Examples:
      | size                              |
      | small                             |
      | large                             |
      | large, with checkpoints in parts, |

  Scenario Outline: A voter that goes on after such a loss loses nothing either
    Given a modelled folder on which a voter of a <size> state writes terms, changes and checkpoints
    When the voter starts again on each folder left, writes over old files and may lose power once more
    Then every file that counts is as it was written
    Examples:
      | size                              |
      | small                             |
      | large                             |
      | large, with checkpoints in parts, |

  Scenario: Many changes of a large state are a few files at the next start
    Given a voter of a state of 3000 KB
    When it takes 5000 changes and starts again
    Then its folder holds at most 520 files, of which at most 262 are read, and nothing is missing
    And after 300 more changes none of those passed over is left

  Scenario: Damaged data that is set aside never leaves an identity without its memory
    Given a modelled folder with a damaged checkpoint
    When the power is lost at each step of setting it aside
    Then every folder left is empty, damaged, or loads nobody's identity

  Scenario: A new data folder is itself durable before anything is written to it
    When a data folder is made two levels deep
    Then the folder above each new one was synced

  Scenario: A checkpoint written in parts is the one written at once
    Given a voter of a state of 3000 KB
    When it writes a checkpoint in parts while 200 changes go on
    Then no part held up a heartbeat by more than 200 KB of writing
    And what it starts with again is what it had, from that checkpoint
