Feature: Endpoints are judged by what they do, within bounds

  Scenario Outline: What a probe says of an endpoint that a proxy could not reach
    Given a leader with an endpoint whose last heartbeat was <age> ms ago
    When a proxy suspects it, and the probe <finds>
    Then the endpoint is <verdict>
    Examples:
      | age  | finds                                   | verdict    |
      | 500  | is answered 200 by itself               | registered |
      | 500  | is answered 503 by itself               | registered |
      | 500  | is answered 503 by nobody in particular | registered |
      | 500  | is answered 200 by another              | removed    |
      | 500  | is refused                              | removed    |
      | 500  | gets no response                        | registered |
      | 4000 | gets no response                        | removed    |
      | 4000 | is answered 503 by itself               | registered |

  Scenario: A probe goes through the dialect that its answer is in
    Given a control node's host whose dialect names the responder to a probe in a header of its own
    When it probes an endpoint over a connection
    Then the machine gets the responder's name

  Scenario Outline: What it takes to doubt an endpoint
    Given a service of <ends> endpoints behind <proxies> proxies
    When <reports>
    Then <n> of its endpoints are ejected
    Examples:
      | ends | proxies | reports                                        | n |
      | 12   | 9       | 2 proxies report 3 failures and 0 successes    | 1 |
      | 12   | 9       | 1 proxies report 9 failures and 0 successes    | 0 |
      | 12   | 1       | 1 proxies report 9 failures and 0 successes    | 1 |
      | 12   | 9       | 2 proxies report 2 failures and 0 successes    | 0 |
      | 12   | 9       | 2 proxies report 4 failures and 16 successes   | 0 |
      | 12   | 9       | 9 proxies report 18 failures of every endpoint | 3 |
      | 3    | 9       | 9 proxies report 18 failures of every endpoint | 0 |

  Scenario: A doubt ends by itself, and lasts longer when it is found true again
    Given a service of 12 endpoints behind 9 proxies
    When 2 proxies report 3 failures and 0 successes
    Then 1 of its endpoints are ejected
    When 3100 ms pass for the detector
    Then 0 of its endpoints are ejected
    When 2 proxies report 3 failures and 0 successes
    And 3100 ms pass for the detector
    Then 1 of its endpoints are ejected
    When 3100 ms pass for the detector
    Then 0 of its endpoints are ejected

  Scenario: The master publishes a doubt and takes it back
    Given a leader with 9 proxies and a service of 12 endpoints
    When two proxies report to it that an endpoint failed 4 times
    Then the leader ejects that endpoint within 500 ms
    And 3500 ms later it is no longer ejected

  Scenario: A proxy that saw an endpoint fail prefers others for a while, then tries it again
    Given a proxy for open traffic with 2 endpoints
    When one of them responds 500 to every request for 6 s
    Then it got less than a fifth of the requests
    And its failures were reported to the leader

  Scenario: What all proxies doubt is avoided, but better than nobody
    Given a proxy for open traffic with 2 endpoints
    When the leader ejects one of them
    Then the next 20 requests, completed at once, go to the other
    When the leader ejects both
    Then the next 20 requests, completed at once, go to both

  Scenario Outline: What is no evidence against an endpoint
    Given a proxy for open traffic with 2 endpoints
    When an endpoint responds to a request with <what>
    Then no failure of it is reported
    Examples:
      | what                                       |
      | 503 as not run                             |
      | 421 as not run                             |
      | 404                                        |
      | 200                                        |
      | silence until its caller's short time ends |
