Feature: The edge: real files, sockets and the host, where things go wrong

  Scenario Outline: A program starts on a folder whose disk refuses writes for now, and writes once it can: <refusal>
    Given a data folder that holds term 1
    When a control node starts on the folder while <refusal>
    Then the node has the identity and the term from the folder, and logs that its disk can not be written
    When the disk accepts writes again, and a second passes
    Then the node logs that its disk can be written again, and the folder loads as before
    Examples:
      | refusal                                |
      | the disk is full                       |
      | the quota is used up                   |
      | the device has errors                  |
      | the disk is full and has no lock file  |

  Scenario Outline: A folder that can not be used is told, and ends the program: <refusal>
    Given a data folder that holds term 1
    When a program starts on the folder while <refusal>
    Then the program gets an error that the folder can not be used
    Examples:
      | refusal                           |
      | the folder is read-only           |
      | another process has it            |
      | another process has it that started on a full disk |

  Scenario Outline: A write that does not reach the disk is never taken for written
    Given a data folder that holds term 1
    When term 2 is written and <what> fails once
    Then the write is reported as failed, and the effects after it are not executed
    And the folder still loads as term <before>
    When term 2 is written again
    Then the folder loads as term 2, with no temporary files left
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
    When term 2 is written while each system call takes at most 3 bytes
    Then the folder loads as term 2, with no temporary files left

  Scenario: Files of before a checkpoint do not pile up over restarts
    Given a data folder that a voter wrote 40 snapshots into, restarting after each
    Then the folder holds no more than 600 files, and loads

  Scenario: A control node whose handler breaks ends with code 70, others go on
    When a handler raises in a machine with a disk and in one without
    Then the first has exited with code 70, and the second has not exited

  Scenario: A reply that comes after its request was given up on is given to nobody else
    Given an endpoint that responds to each request only when the next one arrives
    When a request over a pooled connection times out and another is sent
    Then the second request does not get the response to the first

  Scenario Outline: A reply that is not whole is told as such
    Given a server that responds with <response>
    When the server gets a request
    Then the error of the response is <error>
    Examples:
      | response                    | error           |
      | a body cut short            | reply cut short |
      | a body without an end       | reply cut short |
      | headers cut short           | some            |
      | garbage                     | some            |
      | a body above the bound      | some            |
      | a chunked body cut short    | reply cut short |

  Scenario: A newcomer on an address is asked who it is, and gets no request
    Given a listening endpoint of the client library
    When a request for another incarnation is sent to the address of the endpoint
    Then the request is not sent, and the endpoint has handled none
    When four requests for the endpoint are sent at once and one after them
    Then all are executed over four connections, each verified once

  Scenario: The end of a connection of the process before says nothing of the one that is there now
    Given the local end of the connections to a peer
    When a process connects, and another one from the same address before the first connection has ended
    And the first connection ends
    Then no address is reported as lost
    When the second connection ends
    Then that address is reported as lost, once

  Scenario: An attempt to connect to the process before says nothing of the one that is there now
    Given the local end of the connections to a peer
    When a frame is sent to an address where no process accepts connections yet
    And a process connects from that address, and then the connection attempt fails
    Then no address is reported as lost
    When a frame is sent to that address again, and the connection attempt fails
    Then that address is reported as lost, once

  Scenario: A connection to the process before that ends late says nothing of the one that is there now
    Given the local end of the connections to a peer
    When a process connects and is sent a frame, and another one connects from the same address
    And the outbound connection to the first process ends
    Then no address is reported as lost
    When a frame is sent to that address again, and the connection ends
    Then that address is reported as lost, once

  Scenario: A process that ends is told as lost
    Given the local end of the connections to a peer
    When a frame is sent to an address that accepts connections, and a process connects from there
    And the outbound connection to the process ends
    Then that address is reported as lost, once
