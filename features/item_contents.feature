Feature: What is acknowledged can be carried by everything that follows, and the rest is refused
  Guards against review/8: an item with a value nested 600 deep was acknowledged; its next version ended the leader, and
  the next leader, and so on.

  Scenario Outline: An item with <content> is read, followed by a version, carried to a new node, restarted and removed
    Given a deployment of three control nodes and a proxy, with a service
    When a version of the service with <content> is acknowledged
    Then each control node returns the service as it was sent
    When a version of the service with <content> is acknowledged
    And a control node is killed, and its disk is lost
    Then each control node returns the service as it was sent
    When all control nodes are killed, and return
    Then each control node returns the service as it was sent
    And zinctrailctl prints the service as it was sent
    When the service is removed
    Then each control node returns no such service
    And no process has used more memory than its machine has
    And no process has ended by itself
    Examples:
      | content                              |
      | a value nested 600 deep              |
      | objects nested as deep as allowed    |
      | lists nested as deep as allowed      |
      | a number of 4000 digits              |
      | a lone surrogate                     |
      | the largest body                     |
      | a million characters that JSON escapes |

  Scenario Outline: A change with <content> is refused with <status>, and changes nothing
    Given a deployment of three control nodes and a proxy, with a service
    When a version of the service with <content> is sent
    Then it gets <status>, with a text that says <text>
    And each control node returns the service as it was sent
    And no process has ended by itself
    Examples:
      | content                              | status | text           |
      | a value nested one level too deep    | 400    | levels deep    |
      | a value nested 4000 deep             | 400    | levels deep    |
      | a value nested 100000 deep           | 400    | levels deep    |
      | a number that is read as infinity    | 400    | too large      |
      | NaN                                  | 400    | is no number   |
      | a health path with a line break      | 400    | invalid change |
      | a health path with a space           | 400    | invalid change |
      | a health path with a lone surrogate  | 400    | invalid change |

  Scenario Outline: A call of <page> with a value nested <depth> deep gets a response, and ends no process
    Given a deployment of three control nodes and a proxy, with a service
    When each control node gets a call of <page> with a value nested <depth> deep
    Then each gets a status of 4xx
    And no process has ended by itself
    Examples:
      | page           | depth  |
      | heartbeats     | 900    |
      | locks          | 900    |
      | keys           | 900    |
      | the document   | 900    |
      | the recovery   | 900    |
      | heartbeats     | 100000 |
      | the document   | 100000 |

  Scenario Outline: A stored item nested <depth> deep, as the landed release accepted it, stays usable after an upgrade
    Given a control node with the disk of an earlier release, which holds a service nested <depth> deep
    Then the service is returned as it was stored
    And the same version is acknowledged again, and another content for it is refused
    And a version that differs at the deepest place is acknowledged, and read back
    And the service is removed, and gone after a restart
    Examples:
      | depth |
      | 300   |
      | 600   |
      | 960   |
      | 990   |

  Scenario: The state of a lost cluster with the deepest item is recovered
    Given a control node with the disk of an earlier release, which holds a service nested 990 deep
    When its state is exported, and an empty control node recovers from it
    Then the empty control node holds the service as it was stored

  Scenario: Items are accepted up to the bound of the whole configuration, and remain readable at every node
    Given control nodes whose configuration may have 500000 bytes
    When services of 60000 bytes are added until one is refused
    Then it was refused with 413, and the services before it are read at each node
    And a smaller version of a service and a removal are acknowledged, and then the refused service
    And the configuration stays within the bound, read by a frame of a follower

  Scenario: A configuration above the bound, as an earlier release accepted it, can be changed and shrunk
    Given a control node with the disk of an earlier release, whose configuration is twice the bound
    Then a change that makes it no larger is acknowledged, and one that adds a service gets 413

  Scenario Outline: A watch that fell <count> events of 8000 characters behind gets them all, in responses of bounded size
    Given a control node that leads, and <count> writes of 8000 characters to <kind>
    When a watcher reads from before them, and on from where each response ends
    Then it gets each event once, in order, in responses of at most 2000000 characters
    Examples:
      | kind      | count |
      | registers | 400   |
      | keys      | 400   |
