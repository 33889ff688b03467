Feature: What comes late, or is asked again, does no harm
  Each scenario failed before the fix that it guards (see the commits).

  Scenario: A freeing that was held up does not free what was taken since
    Given a small world with traffic
    When app x takes a lock, its release is delayed at a frozen directory, and it takes the lock again
    Then after the directory resumes, app y does not get the lock while x holds it

  Scenario: A freeing frees, and so does one asked twice
    Given a small world with traffic
    When app x takes a lock and releases it twice
    Then app y gets the lock under a higher fence

  Scenario Outline: A final outcome is told in time without a leader
    Given a small world with traffic
    When <what> with 800 ms left and all control nodes crash
    Then its caller gets <outcome> within 800 ms
    Examples:
      | what                                            | outcome |
      | a claimed request is refused by its endpoint    | unknown |
      | a request waits for its claim                   | unknown |

  Scenario: A request that no leader could even be asked about is told not-run
    Given a small world with traffic
    When a proxy knows no leader and a request arrives with 800 ms left
    Then its caller gets not-run within 800 ms

  Scenario: Waiting that is hopeless is told at once
    Given a small world whose service loans has one endpoint with one slot that takes a second
    When 12 requests arrive at once with 3000 ms left each
    Then those that can not be served in time get not-run within 500 ms, with a time to retry

  Scenario Outline: A repeat with other home regions gets nothing from outside them
    Given a small world with traffic
    When a request ran in r0 and is sent again for home r1 through <proxy>
    Then it gets unknown, without the response of r0
    Examples:
      | proxy                |
      | a proxy of r1        |
      | the same proxy of r1 |

  Scenario Outline: An operator who asks again is told what came of his change
    Given a small world with traffic
    When a change is accepted, <between>, and it is requested again with its id
    Then it gets the first version, and nothing is changed again
    Examples:
      | between                            |
      | its response is lost               |
      | another operator changes something |
      | the leader is killed               |

  Scenario: An id that was used for another change is refused
    Given a small world with traffic
    When a change is accepted and another is requested with its id
    Then it is refused with status 409

  Scenario: A late reply takes the place of an unknown outcome
    Given a small world with traffic
    When a request runs longer than its caller waits and is then sent again
    Then the retry gets the response of the one run

  Scenario Outline: A lock whose holder's clock goes slower than the leader's
    Given a small world whose leader's clock runs <percent> percent faster, with <slack> slack
    When app x takes a lock for 10000 ms and app y requests it 9800 ms later
    Then app y is <verdict>
    Examples:
      | percent | slack | verdict    |
      | 4       | 0.05  | refused    |
      | 4       | 0.0   | granted it |
