Feature: A control node out of touch with a majority misleads nobody and keeps nobody waiting
  For twenty seconds, and four after, callers send orders, reads, look-ups,
  beats, evacuations and locks to the troubled node and to the others. Each
  checker reads only what they saw, and is shown to speak with its guard off.

  Scenario Outline: Nothing wrong is seen around a <trouble>
    Given trials of a <trouble> under seeds <seeds>
    Then no checker of the trials finds anything
    Examples:
      | trouble                     | seeds   |
      | master cut from cores       | 1,2     |
      | master cut alone            | 3       |
      | master cut with a side      | 1,2     |
      | master cut with a follower  | 1       |
      | master cut outwards         | 1,2     |
      | master cut inwards          | 1,2     |
      | master frozen               | 1       |
      | master frozen, callers wait | 1,2     |
      | master frozen and cut       | 1       |
      | master frozen often         | 1       |
      | master with disk stalls     | 1,2     |
      | master with clock steps     | 1       |
      | follower cut alone          | 1       |
      | follower cut outwards       | 1,2     |
      | follower cut inwards        | 1       |
      | follower frozen             | 1       |

  Scenario Outline: Checker <checker> speaks without <guard>
    Given trials of a <trouble> under seeds <seeds>
    Then with <guard> switched off in the trials, checker <checker> finds something
    Examples:
      | checker     | guard                    | trouble                     | seeds |
      | late        | noticing                 | master cut from cores       | 1     |
      | late        | noticing                 | follower cut outwards       | 1     |
      | late        | the election's bound     | master cut alone            | 1     |
      | late        | ending a term            | master frozen, callers wait | 1     |
      | stale       | fences and noticing      | master frozen and cut       | 1     |
      | lost        | quorums for commits      | master cut from cores       | 1     |
      | expired     | leases                   | master cut alone            | 1     |
      | expired     | leases                   | follower cut alone          | 1     |
      | two holders | lock terms               | master frozen often         | 1     |
      | refused     | refusals told as 503     | master cut from cores       | 1     |

  Scenario: A master that hears its successor first ends its own term
    Given a control node that leads
    When a caller reads a cell there, and its successor is heard at once
    Then that caller is refused, and the node sends no heartbeat in its successor's term

  Scenario Outline: Proxies keep what a master out of touch refuses, callers of control nodes don't
    Given a control node that leads, and hears nobody for <ms> ms
    When a <role> asks it for a number
    Then <told> is what that asker is told within 20 ms
    Examples:
      | ms  | role         | told    |
      | 300 | control node | nothing |
      | 700 | control node | 503     |
      | 700 | proxy        | 421     |

  Scenario: A node that stood still itself reads what came meanwhile before it turns callers away
    Given a control node that follows b
    When a caller asks for a number, and the node stands still for 900 ms while b went on
    Then that caller is still waiting
