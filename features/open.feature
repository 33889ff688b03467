Feature: Open traffic through one proxy: leaving, limits, endpoints that misbehave, repeats

  Scenario: A leaving proxy serves on with each connection's last answer, then refuses, and loses nothing
    Given a proxy for open traffic with 2 endpoints
    When it is told to stop
    Then it is not ready, and drains its connections
    When a request arrives 2 s later
    Then it is sent to an endpoint
    When 1 s more go by
    Then it accepts no more connections
    When a request arrives 0 s later
    Then it is refused as not run, with a Retry-After
    And it exits only after the first request got its response, within its grace period

  Scenario: The front of a leaving proxy, over real connections
    Given an ingress whose responses the scenario sends
    When two clients connect, one of them sends a request, and the ingress drains
    And the response is sent
    Then its response is complete, and the last on its connection
    When the ingress stops listening
    Then the other client's connection is closed, and no new one is accepted
    And a request that was half read by then still gets its response

  Scenario Outline: The operator's limits at the front
    Given an ingress with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 2500
    When a client sends <what>
    Then it gets <status>, and another client is served meanwhile
    Examples:
      | what                                     | status |
      | a header line of 1500 bytes              | 431    |
      | many header lines of 1500 bytes together | 431    |
      | a header of 900 bytes                    | 200    |
      | a body announced as 2001 bytes           | 413    |
      | a body in chunks of 2500 bytes together  | 413    |
      | a body of 2000 bytes in chunks           | 200    |
      | an unreadable form of 2000 bytes         | 200    |
      | a line that is no header                 | 400    |
      | half a header, and then nothing          | 408    |
      | half a body, and then nothing            | 408    |
      | nothing at all                           | close  |

  Scenario: How long a connection may rest is told, kept to, and may change
    Given an ingress with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 9000
    When a client's request is served
    Then its response says timeout=8
    When the limits change to idle_ms 100
    Then the idle connection is closed cleanly

  Scenario Outline: An empty line too much is no beginning of a request
    Given an ingress with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 9000
    When a client's request is served, with an empty line that comes <when> the response
    Then after 3 s its connection is still open, and serves
    Examples:
      | when   |
      | before |
      | after  |

  Scenario: A request for which the process has no room is refused before it is passed on
    Given an ingress with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 600
    When a client is connected, and then the process holds all that it may
    Then its request gets 503, and is not passed on

  Scenario: Clients that send many requests in a row take turns
    Given an ingress that responds at once
    When 3 clients each send 20 requests in a row
    Then no client's next request is passed on before a request of every client

  Scenario: A connection whose next request has arrived is not closed to make room for another
    Given an ingress with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 600
    When a request arrives on an idle connection just before room is made
    Then it is passed on

  Scenario: A proxy hands on the operator's limits when they change
    Given a proxy for open traffic with 1 endpoints
    When the limits item sets idle_ms to 700
    Then the ingress gets idle_ms 700 once

  Scenario: More bodies than memory has room for are refused as not run
    Given an ingress with header_bytes 1000, body_bytes 99000000, header_ms 300, idle_ms 2500
    When a client sends a body announced as 90000000 bytes
    Then it gets 503, and another client is served meanwhile

  Scenario Outline: What an endpoint sends is taken strictly
    Given an endpoint that responds with <what>
    When two requests are sent to it, one after the other
    Then the first gets <got>, and the second goes over <over> connection
    Examples:
      | what                                          | got       | over     |
      | a full response                               | its own   | the same |
      | a full response and more bytes                | its own   | another  |
      | a full response, and a second one late        | its own   | another  |
      | another's response and then its own           | its own   | another  |
      | another's empty response and then its own     | its own   | another  |
      | another's response and its own in one segment | its own   | another  |
      | three responses to others                     | another's | another  |
      | another's response, and then a close          | an error  | another  |
      | a response that says close                    | its own   | another  |
      | a response that says Keep-Alive: timeout=0    | its own   | another  |
      | a response of two framings                    | an error  | another  |
      | a response cut short                          | an error  | another  |
      | a response in another protocol                | an error  | another  |
      | noise and no response                         | an error  | another  |
      | a chunked response                            | its own   | the same |

  Scenario Outline: How long an idle connection is used again
    Given an endpoint that responds with <what>
    When a request is sent, and after <s> s one that may run <times>
    Then it goes over <over> connection
    Examples:
      | what                           | s   | times | over     |
      | a full response                | 0.2 | once  | the same |
      | a full response                | 0.4 | once  | another  |
      | a full response                | 2.9 | often | the same |
      | a full response                | 3.1 | often | another  |
      | a response that says timeout=5 | 4.2 | once  | the same |
      | a response that says timeout=5 | 4.4 | often | another  |
      | a response that says timeout=1 | 0.2 | once  | the same |
      | a response that says timeout=1 | 0.4 | often | another  |

  Scenario Outline: An endpoint that speaks or goes before it is asked
    Given an endpoint that <does> as soon as it is connected
    When a request is sent to it alone
    Then it gets an error, and no exception is logged
    Examples:
      | does        |
      | closes      |
      | sends noise |

  Scenario: A connection that its other side has closed is not used for what may run once
    Given an endpoint that closes after each response, without announcing it
    When two requests are sent to it, one after the other
    Then the first gets its own, and the second goes over another connection

  Scenario: An endpoint's connections are shared by all proxies
    Given a proxy for open traffic, one of 5, with 2 endpoints that take 12 connections each
    When 10 requests arrive at once
    Then each endpoint has been sent 2 of them

  Scenario Outline: Cold endpoints get no more from all proxies together than they bear
    Given <n> proxies and <ends> cold endpoints with a capacity of <capacity> requests a second each
    When each proxy gets <rate> requests a second for 6 s, and <change>
    Then in no second is any of them sent more than 1.5 times its capacity plus 5
    And each is sent at least 0.6 of its capacity over the whole time
    Examples:
      | n  | ends | capacity | rate | change                         |
      | 82 | 6    | 7.3      | 4    | nothing else happens           |
      | 82 | 6    | 7.3      | 4    | a third of the proxies is lost |
      | 9  | 4    | 6.7      | 20   | nothing else happens           |
      | 9  | 4    | 6.7      | 20   | a third of the proxies is lost |
      | 1  | 2    | 7.3      | 40   | nothing else happens           |
      | 30 | 3    | 2        | 5    | nothing else happens           |

  Scenario: A silent endpoint is not waited for alone, and the first whole answer counts
    Given a proxy for open traffic with 2 endpoints
    When a request arrives 0 s later
    And 700 ms pass without a response
    Then it was sent to both endpoints
    When the second endpoint responds
    Then its caller gets that response
    When the first endpoint responds
    Then it gets one response, and no endpoint has a request in progress

  Scenario: Several silent requests are sent elsewhere as the shared bound pays for them
    Given a proxy for open traffic, one of 12, with 3 endpoints that take 1200 connections each
    When 3 requests get no response, and others are served 50 ms apart
    Then all 3 were sent to a second endpoint, not all at once

  Scenario Outline: What is sent a second time, and what is not
    Given a proxy for open traffic with 3 endpoints, whose rule says <rule>
    When a request arrives 0 s later
    And its endpoint <does>
    Then it is sent <n> times, and its caller gets <status>
    Examples:
      | rule               | does                             | n | status |
      | once               | stays silent for most of the aim | 1 | none   |
      | once               | cuts its answer off              | 1 | 502    |
      | once               | answers to another               | 1 | 502    |
      | once               | answers 500                      | 1 | 500    |
      | once               | answers 503 as not run           | 2 | none   |
      | once               | answers 421                      | 2 | none   |
      | once               | can not be reached               | 2 | none   |
      | often              | cuts its answer off              | 2 | none   |
      | often              | answers to another               | 2 | none   |
      | often              | answers 500                      | 2 | none   |
      | often, one attempt | answers 500                      | 1 | 500    |
      | often, one attempt | stays silent for most of the aim | 1 | none   |
      | often, one attempt | answers 503 as not run           | 1 | 503    |
      | often              | answers 200 without a stamp      | 2 | none   |
      | once               | answers 200 without a stamp      | 1 | 502    |
      | once               | answers in an encoding           | 1 | 502    |
      | once               | answers 503 and nothing else     | 1 | 502    |
      | often              | answers 503 and nothing else     | 2 | none   |

  Scenario: Whose time is up before anything was sent is told that it did not run
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And 10 s pass for the proxy
    Then each waiting request gets 503

  Scenario: An endpoint that fails twice in a row is passed over while there are others
    Given a proxy for open traffic with 2 endpoints, whose rule says once
    When endpoint e0 truncates its responses
    Then after a while only e1 gets requests
    When endpoint e1 is removed
    Then e0 gets requests again

  Scenario: An endpoint that says nothing gets no more while there are others
    Given a proxy for open traffic with 2 endpoints, whose rule says once
    When e0 stops responding, and 60 requests arrive, 20 ms apart
    Then e0 has been sent no more than 17 of them, and e1 the rest

  Scenario: A slow endpoint gets less
    Given a proxy for open traffic with 2 endpoints
    When e0 takes 300 ms and e1 takes 100 ms, and 200 requests arrive, 50 ms apart
    Then e1 is sent more than twice as many as e0

  Scenario: Without a lease a request waits a moment, and is then told when to come back
    Given a proxy for open traffic with 1 endpoints
    When the lease expires
    And a request arrives 0 s later
    Then after 90 ms it has no response, and after 140 ms it is refused, with a third of its time as Retry-After
    When a request arrives 0 s later
    And the lease is renewed 50 ms later
    Then the request is sent

  Scenario: Who waits for room is served by rank
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And the endpoint has room for one more
    Then the one of rank 0 is sent

  Scenario: A crowd that waits costs one look at its pool, not one each
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and 200 more requests arrive
    And the endpoint has room for one more
    Then one of them is sent, and endpoint selection ran no more than 3 times

  Scenario: A caller that goes away while its request waits is forgotten
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And their callers disconnect
    And the endpoint has room for one more
    Then none of them is sent

  Scenario: What is of the caller's connection stays there, the rest is passed on
    Given a proxy for open traffic with 1 endpoints
    When a request arrives with headers connection=close, x-own, zt-id and x-own=1 and x-other=2 and te=trailers and expect=100-continue
    Then its endpoint gets headers host=h and x-other=2 and zt-id=id1, the time that it has left and its incarnation
