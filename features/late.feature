Feature: Late messages and retries do no harm
  Each scenario was seen to fail before its fix (the commits say how).

  Scenario: A delayed release of a lock does not release what was taken since
    Given a small world with traffic
    When application x takes a lock, its release is delayed at a paused directory, and it takes the lock again
    Then after the directory resumes, application y is refused the lock while x believes that it holds it

  Scenario: A release frees a lock, also if it is repeated
    Given a small world with traffic
    When application x takes a lock and releases it twice
    Then application y gets the lock with a higher fencing token

  Scenario Outline: A request gets its final outcome in time without a leader
    Given a small world with traffic
    When <what> with 800 ms left and all control nodes fail
    Then it gets outcome <outcome> within 800 ms
    Examples:
      | what                                            | outcome |
      | a claimed request is refused by its endpoint    | unknown |
      | a request waits for its claim                   | unknown |

  Scenario: A request for which no leader could be asked gets outcome not-run
    Given a small world with traffic
    When a proxy knows no leader and a request arrives with 800 ms left
    Then it gets outcome not-run within 800 ms

  Scenario: A request that cannot be served in time is refused at once
    Given a small world whose service loans has one endpoint with one slot and requests that take a second
    When 12 requests arrive at once with 3000 ms left each
    Then those that cannot be served in time get outcome not-run within 500 ms, with a time to retry

  Scenario Outline: A retry with other home regions gets no response from outside them
    Given a small world with traffic
    When a request ran in r0 and is retried with home r1 through <proxy>
    Then it gets outcome unknown, without the response of r0
    Examples:
      | proxy              |
      | a proxy of r1      |
      | the same proxy of r1 |

  Scenario Outline: An operator who retries a change gets the result of the first attempt
    Given a small world with traffic
    When a change is accepted, <between>, and it is retried with its id
    Then it gets the first version, and nothing is changed again
    Examples:
      | between                                  |
      | its response is lost                     |
      | another operator changes something       |
      | the leader is killed                     |

  Scenario: An id that was used for another change is refused
    Given a small world with traffic
    When a change is accepted and another is requested with its id
    Then it is refused with status 409

  Scenario: A late response replaces an unknown outcome
    Given a small world with traffic
    When a request runs longer than its caller waits and is then retried
    Then the retry gets the response of the only run

  Scenario Outline: A lock whose holder's clock is slower than the leader's
    Given a small world whose leader's clock is <percent> percent faster, with <slack> slack
    When application x takes a lock for 10000 ms and application y requests it 9800 ms later
    Then application y is <verdict>
    Examples:
      | percent | slack | verdict    |
      | 4       | 0.05  | refused    |
      | 4       | 0.0   | granted it |
