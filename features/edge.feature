Feature: The edge: real files, sockets and the host, where things go wrong

  Scenario Outline: A program starts on a folder whose disk refuses writes for now, and writes once it can: <refusal>
    Given a data folder that holds term 1
    When a control node starts on it while <refusal>
    Then it has the identity and the term that the folder holds, and says that its disk can not be written
    When the disk takes writes again, and a second goes by
    Then it says that its disk can be written again, and the folder loads as before
    Examples:
      | refusal                                |
      | the disk is full                       |
      | the quota is used up                   |
      | the device has errors                  |
      | the disk is full and has no lock file  |

  Scenario Outline: A folder that can not be used is told, and ends the program: <refusal>
    Given a data folder that holds term 1
    When a program starts on it while <refusal>
    Then it is told that the folder can not be used
    Examples:
      | refusal                           |
      | the folder is read-only           |
      | another process has it            |
      | another process has it that started on a full disk |

  Scenario Outline: A write that does not reach the disk is never taken for written
    Given a data folder that holds term 1
    When term 2 is written and <what> fails once
    Then the write is told as failed, and what stood behind it is not done
    And the folder still loads as term <before>
    When term 2 is written again
    Then the folder loads as term 2, with nothing left aside
    Examples:
      | what                       | before |
      | making the file            | 1      |
      | writing, for want of space | 1      |
      | writing, half-way          | 1      |
      | syncing the file           | 1      |
      | renaming                   | 1      |
      | syncing the folder         | 2      |

  Scenario: Short writes are gone on with
    Given a data folder that holds term 1
    When term 2 is written by a system that takes 3 bytes at a time
    Then the folder loads as term 2, with nothing left aside

  Scenario: Files of before a checkpoint do not pile up over restarts
    Given a data folder that a voter wrote 40 checkpoints into, restarting after each
    Then the folder holds no more than 600 files, and loads

  Scenario: A control node whose handler breaks ends with code 70, others go on
    When a machine with a disk and one without break in a handler
    Then the first has ended with code 70, and the second has not ended

  Scenario: A reply that comes after its request was given up on is given to nobody else
    Given an endpoint that answers each request only when the next one comes
    When a request over a kept connection is given up on and another is sent
    Then the second is not given the first one's reply

  Scenario Outline: A reply that is not whole is told as such
    Given a server that answers with <reply>
    When it is asked over a connection
    Then the reply's fault is <fault>
    Examples:
      | reply                       | fault           |
      | a body cut short            | reply cut short |
      | a body without an end       | reply cut short |
      | headers cut short           | some            |
      | garbage                     | some            |
      | a body above the bound      | some            |
      | a chunked body cut short    | reply cut short |

  Scenario: A newcomer on an address is asked who it is, and gets no request
    Given an endpoint of the library that listens
    When a request for another incarnation is sent to its address
    Then nothing is sent, and the endpoint has met no request
    When four requests for it are sent at once and one after them
    Then all run over four connections, each asked once

  Scenario: The end of a connection of the process before says nothing of the one that is there now
    Given our end of the inner wire
    When a process connects, and another one from its address before the first connection has ended
    And the first connection ends
    Then nobody is told as lost
    When the second connection ends
    Then that address is told as lost, once

  Scenario: An attempt to connect to the process before says nothing of the one that is there now
    Given our end of the inner wire
    When a frame is sent to an address where nobody answers yet
    And a process from that address connects, and then the attempt fails
    Then nobody is told as lost
    When a frame is sent there again, and that attempt fails
    Then that address is told as lost, once

  Scenario: A connection to the process before that ends late says nothing of the one that is there now
    Given our end of the inner wire
    When a process connects and is sent a frame, and another one connects from its address
    And the connection to the first ends
    Then nobody is told as lost
    When a frame is sent there again, and that connection ends
    Then that address is told as lost, once

  Scenario: A process that ends is told as lost
    Given our end of the inner wire
    When a frame is sent to an address that answers, and a process from there connects
    And the connection to it ends
    Then that address is told as lost, once
