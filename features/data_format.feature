Feature: A data folder as it was written is read, and written the same again
  features/data/format2 is the data folder of a control node that led and applied
  an operation of most kinds; features/support/folder_sample.py wrote it.

  Scenario: A recorded folder holds what it held, and its files are the same when they are written again
    Given the recorded folder of format 2
    When it is loaded
    Then it has the node, term, vote and state that were recorded
    And each of its documents is encoded to the same bytes

  Scenario: A control node starts on the recorded folder and leaves its files as they are
    Given the recorded folder of format 2
    When a control node is started on its files
    Then whatever it writes is what the folder holds already

  Scenario: The same operations write the same folder
    When a control node carries out the operations of the recorded folder
    Then its files are those of the recorded folder, byte for byte
