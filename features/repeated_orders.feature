Feature: An order that comes again is known for a time, however many others came between
  Guards against review/4: a put that had taken effect got 412 when it was retried after 24 other puts, since its
  register retained a fixed number of values.

  Scenario Outline: A put that comes again after <others> others at 41 a second, <condition>
    Given a control node that leads, and a put of A.1 <condition>
    When callers make <others> other puts on its key, 41 a second
    Then the retried put gets its first revision, and nothing is written
    And a put of a new value, <condition>, is refused or written accordingly
    Examples:
      | others | condition            |
      | 24     | at its revision      |
      | 30     | at its revision      |
      | 400    | at its revision      |
      | 2000   | at its revision      |
      | 24     | at any revision      |
      | 30     | at any revision      |
      | 2000   | at any revision      |

  Scenario: Puts on other keys of a group between are not taken for those of a key
    Given a control node that leads, and a put of A.1 at its revision
    When callers make 40 other puts on its key and as many on other keys of its group, in turn
    Then the retried put gets its first revision, and nothing is written

  Scenario: A put that comes again to the next leader gets the revision that it got first
    Given a control node that leads, and a put of A.1 at its revision
    When callers make 60 other puts on its key, 41 a second
    And the node leads again, and knows only the replicated state
    Then the retried put gets its first revision, and nothing is written

  Scenario: What is remembered of puts is bounded by time
    Given a control node that leads, and a put of A.1 at its revision
    When callers make 400 other puts on its key, 41 a second
    And twice the retention time of the history passes
    Then of the puts only the last values of the key are retained

  Scenario Outline: An evacuation that comes again after <others> others acts no second time
    Given a control node that leads, and a command that evacuates a zone
    When <others> other commands on the zone are acknowledged, the last of which withdraws the evacuation
    Then the retried command is acknowledged, and the zone stays as it is
    Examples:
      | others |
      | 15     |
      | 17     |
      | 301    |

  Scenario: What is remembered of evacuations is bounded by time, and by refusing
    Given a control node that leads, and a command that evacuates a zone
    When commands on the zone arrive without a pause until one is refused
    Then it was refused with 503 and did nothing
    And after two epochs a command is accepted, and few are retained

  Scenario: An operation that comes again after 5000 others in two seconds acts no second time
    Given a control node that leads, and a step of a number that b requests
    When b requests 5000 other steps within 2 s
    Then a copy of the first request gets the same number

  Scenario: What a leader remembers of operations is bounded by time, and by refusing
    Given a control node that leads, with room for 40 results
    When b requests 60 steps of a number at once
    Then 40 of them are carried out, and the others are refused and never carried out
    And after the retention time of a result, steps are carried out again
