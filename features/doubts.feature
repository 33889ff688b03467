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

  Scenario Outline: What it takes to doubt an endpoint
    Given a service of <ends> endpoints before <proxies> proxies
    When <told>
    Then <n> of its endpoints are doubted
    Examples:
      | ends | proxies | told                                              | n |
      | 12   | 9       | 2 proxies tell of 3 failures and 0 served         | 1 |
      | 12   | 9       | 1 proxies tell of 9 failures and 0 served         | 0 |
      | 12   | 1       | 1 proxies tell of 9 failures and 0 served         | 1 |
      | 12   | 9       | 2 proxies tell of 2 failures and 0 served         | 0 |
      | 12   | 9       | 2 proxies tell of 4 failures and 16 served        | 0 |
      | 12   | 9       | 9 proxies tell of 18 failures of every endpoint   | 3 |
      | 3    | 9       | 9 proxies tell of 18 failures of every endpoint   | 0 |

  Scenario: A doubt ends by itself, and lasts longer when it is found true again
    Given a service of 12 endpoints before 9 proxies
    When 2 proxies tell of 3 failures and 0 served
    Then 1 of its endpoints are doubted
    When 3100 ms go by in doubt
    Then 0 of its endpoints are doubted
    When 2 proxies tell of 3 failures and 0 served
    And 3100 ms go by in doubt
    Then 1 of its endpoints are doubted
    When 3100 ms go by in doubt
    Then 0 of its endpoints are doubted

  Scenario: The master publishes a doubt and takes it back
    Given a master with 9 proxies and a service of 12 endpoints
    When two proxies tell it that an endpoint failed 4 times
    Then the routes doubt that endpoint within 500 ms
    And 3500 ms later no longer

  Scenario: A proxy that saw an endpoint fail prefers others for a while, then tries it again
    Given a proxy for open traffic with 2 endpoints
    When one of them answers 500 to everything for 6 s
    Then it got less than a fifth of the requests
    And the master was told of its failures

  Scenario: What all proxies doubt is avoided, but better than nobody
    Given a proxy for open traffic with 2 endpoints
    When the routes doubt one of them
    Then the next 20 requests, answered at once, go to the other
    When the routes doubt both
    Then the next 20 requests, answered at once, go to both

  Scenario Outline: What is no evidence against an endpoint
    Given a proxy for open traffic with 2 endpoints
    When an endpoint answers a request with <what>
    Then nothing is held against it
    Examples:
      | what                                   |
      | 503 as not run                         |
      | 421 as not run                         |
      | 404                                    |
      | 200                                    |
      | silence until its caller's short time ends |
