Feature: A callback may change the collection that is gone through
  Whoever waits is called once, whatever the callbacks before it requested, cancelled or ended.

  Scenario Outline: A callback requests another operation as they <ends>
    # Guards against a KeyError while operations are gone through, which ended the process (days --seed=5002).
    Given a proxy with a lease
    When three operations wait there, the first of which requests another when it ends, and they <ends>
    Then each of the four has ended once
    Examples:
      | ends                             |
      | are refused for want of a leader |
      | expire                           |

  Scenario Outline: A callback cancels the next operation as they <ends>
    Given a proxy with a lease
    When three operations wait there, the first of which cancels the second when it ends, and they <ends>
    Then the first and the third have ended once, and the second never
    Examples:
      | ends                             |
      | are refused for want of a leader |
      | expire                           |

  Scenario: The response to a change of the configuration brings another change
    # Guards against a change that is lost or answered twice because a callback goes through the changes as well.
    Given three changes of the configuration that every member has applied
    When the response to the first brings a fourth, of which not every member has applied the change
    Then the first three have got one response each, and the fourth still waits

  Scenario: The end of a request takes others out of the queue for credit
    # Guards against an IndexError on a queue that became shorter while it was gone through.
    Given a proxy with a lease, and two requests that wait for credit
    When the queue is gone through, and the first request takes the second out of it
    Then the queue is empty, and nothing has failed

  Scenario: A queued request goes on as the first of another pool
    # Guards against a RuntimeError on pools that were added while they were gone through.
    Given a proxy with a lease, and two requests that wait for credit
    When the demand is reported, and a request goes on in a pool that is new
    Then the new pool is there, and nothing has failed
