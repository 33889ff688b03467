Feature: A loss of power at any step of a write leaves a folder that loads
  After a loss of power each entry of a folder that was created, renamed or removed
  since the folder was last synced may be preserved or lost independently, and bytes
  that were not synced may be old, new or torn. Every such folder is tried.

  Scenario Outline: No voter forgets what it acknowledged, whatever is kept of its folder
    Given a modelled folder on which a voter of a <size> state writes terms, changes and snapshots
    When the power is lost at each step, with each choice of entries and bytes preserved
    Then every folder left loads a state no older than the last acknowledgement
    Examples:
      | size                           |
      | small                          |
      | large                          |
      | large, with chunked snapshots, |

  Scenario Outline: A voter that goes on after such a loss loses nothing either
    Given a modelled folder on which a voter of a <size> state writes terms, changes and snapshots
    When the voter restarts on each folder left, overwrites old files and may lose power once more
    Then every file that counts is as it was written
    Examples:
      | size                           |
      | small                          |
      | large                          |
      | large, with chunked snapshots, |

  Scenario: Many changes of a large state are a few files at the next start
    Given a voter of a state of 3000 KB
    When it accepts 5000 changes and restarts
    Then its folder holds at most 520 files, of which at most 262 are read, and nothing is missing
    And after 300 more changes none of the superseded files is left

  Scenario: Damaged data that is set aside never leaves an identity without its memory
    Given a modelled folder with a damaged snapshot
    When the power is lost at each step of setting it aside
    Then every folder left is empty, damaged, or loads without an identity

  Scenario: A new data folder is itself durable before anything is written to it
    When a data folder is made two levels deep
    Then the parent of each new folder was synced

  Scenario: A checkpoint written in parts is the one written at once
    Given a voter of a state of 3000 KB
    When it writes a snapshot in chunks while 200 changes are made
    Then no chunk delayed a heartbeat by more than 200 KB of writing
    And it restarts from that snapshot with the state that it had
