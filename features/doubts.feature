Feature: Endpoints are judged by what they do, within bounds

  Scenario Outline: What a probe says of an endpoint that a proxy could not reach
    Given a master with an endpoint that beat <beat> ms ago
    When a proxy suspects it, and the probe <finds>
    Then the endpoint is <verdict>
    Examples:
      | beat | finds                                   | verdict |
      | 500  | is answered 200 by itself               | there   |
      | 500  | is answered 503 by itself               | there   |
      | 500  | is answered 503 by nobody in particular | there   |
      | 500  | is answered 200 by another              | gone    |
      | 500  | is refused                              | gone    |
      | 500  | gets no answer                          | there   |
      | 4000 | gets no answer                          | gone    |
      | 4000 | is answered 503 by itself               | there   |

  Scenario: A probe goes through the dialect that its answer is in
    Given a control node's host whose dialect names who answers to a probe in a header of its own
    When it probes an endpoint over a connection
    Then the machine is told who answered
