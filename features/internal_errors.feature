Feature: One unforeseen exception costs one call
  Exceptions are planted at each stage of a call at a control node. What a call does is applied whole or not at all, the
  caller gets 500 with an id that stands in the log, and the process goes on. docs/notes/unforeseen-exceptions.md

  Scenario Outline: An exception while <stage>
    # Guards against a call that ends one control node after another.
    Given a leader with a pool on disk
    When an exception is planted while <stage>, and a change is sent
    Then its caller gets 500 with an id that stands in the log, and the metric of internal errors counts 1
    And the change <outcome>
    And the next change is acknowledged, and all that was acknowledged is there after a restart
    Examples:
      | stage                                    | outcome                  |
      | the call is read                         | is not there             |
      | its operation is begun                   | is not there             |
      | it is decided, after its first write     | is not there             |
      | the version is encoded                   | is not there             |
      | the version is read back                 | is not there             |
      | the routes of the version are derived    | is not there             |
      | its response is written                  | is there, whole          |

  Scenario: Two changes come with one version, and one of them raises an exception
    Given a leader with a pool on disk
    When two changes are sent at once, and the first raises an exception as it is decided
    Then the first caller gets 500, the second 200, and only the second change is there

  Scenario: A read raises an exception
    Given a leader with a pool on disk
    When an exception is planted while the items are read, and they are read
    Then its caller gets 500 with an id that stands in the log, and the metric of internal errors counts 1

  Scenario: A change that no frame can carry is refused, and changes that only together are too large are not
    Given a leader with a pool on disk whose frames may have 200000 bytes
    When a change of 220000 bytes is submitted, and then a small one and three of 90000 bytes at once
    Then the first gets 413, and the others are acknowledged and there after a restart

  Scenario: Work that a leader does by itself raises an exception each time
    Given a leader with a pool on disk
    When the expiry of locks raises an exception each time, for 5 s
    Then it still leads, the metric counts the exceptions, and the next change is acknowledged

  Scenario: A timer that raises an exception runs again
    Given a leader with a pool on disk
    When the discovery of nodes raises an exception once
    Then the timer is set again, and it still leads

  Scenario Outline: <event> raises an exception
    Given a leader with a pool on disk
    When the handling of <event> raises an exception
    Then it still leads, the metric counts the exceptions, and the next change is acknowledged
    Examples:
      | event                              |
      | an endpoint's answer to a check    |
      | a caller that has disconnected     |
      | a connection that has ended        |
      | settings that were read anew       |

  Scenario Outline: An exception while <stage>, after the version was accepted in memory
    Given a leader with a pool on disk
    When an exception is planted while <stage>, and a change is sent
    Then the exception ends the process, and it starts again from its disk with all that was acknowledged
    Examples:
      | stage                                  |
      | the version is stored                  |
      | the version is sent to the followers   |

  Scenario: The start from disk raises an exception
    Given a leader with a pool on disk
    When it is started while reading the disk raises an exception
    Then it does not start, its files are as they were, and the next start has all that was acknowledged

  Scenario Outline: In a cluster, <planted>
    Given three control nodes that bear unforeseen exceptions
    When <planted>, and a change is sent through a follower
    Then its caller gets <status>, <nodes> counted an exception, and all control nodes run
    And once nothing is planted any more, each control node has the same state and the next change is acknowledged
    Examples:
      | planted                                         | status | nodes      |
      | deciding raises an exception at every node      | 500    | one node   |
      | begun operations raise an exception everywhere  | 500    | one node   |
      | taking up a version raises one at every node    | 200    | every node |
      | a follower raises one at each published version | 200    | one node   |
      | a follower raises one as it catches up          | 200    | one node   |
