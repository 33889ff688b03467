Feature: Open traffic through one proxy: leaving, limits, endpoints that misbehave, repeats

  Scenario: A leaving proxy serves on with each connection's last answer, then refuses, and loses nothing
    Given a proxy for open traffic with 2 endpoints
    When it is told to stop
    Then it is not ready, and tells its connections to go elsewhere
    When a request comes 2 s later
    Then it is sent to an endpoint
    When 1 s more go by
    Then it takes no more connections
    When a request comes 0 s later
    Then it is refused as not run, with a time to come back
    And it ends only once the first request is answered, within its grace

  Scenario: The front of a leaving proxy, over real connections
    Given a front whose machine answers when told to
    When two clients connect, one of them sends a request, and the front leaves
    And the request is answered
    Then its answer is whole, and its connection's last
    When the front is shut
    Then the other client's connection is closed, and no new one is accepted
    And a request half read at that time is still answered

  Scenario Outline: The operator's limits at the front
    Given a front with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 2500
    When a client sends <what>
    Then it is answered <answer>, and another client is served meanwhile
    Examples:
      | what                                      | answer |
      | a header line of 1500 bytes               | 431    |
      | many header lines of 1500 bytes together  | 431    |
      | a header of 900 bytes                     | 200    |
      | a body told as 2001 bytes                 | 413    |
      | a body in chunks of 2500 bytes together   | 413    |
      | a body of 2000 bytes in chunks            | 200    |
      | a form of 2000 bytes that nobody can read | 200    |
      | a line that is no header                  | 400    |
      | half a header, and then nothing           | 408    |
      | half a body, and then nothing             | 408    |
      | nothing at all                            | close  |

  Scenario: How long a connection may rest is told, kept to, and may change
    Given a front with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 9000
    When a client's request is answered
    Then its answer says timeout=8
    When the limits come with idle_ms 100
    Then the resting connection is closed in order

  Scenario Outline: An empty line too much is no beginning of a request
    Given a front with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 9000
    When a client's request is answered, with an empty line that comes <when> the answer
    Then after 3 s its connection is still there, and serves
    Examples:
      | when   |
      | before |
      | after  |

  Scenario: A proxy hands on the operator's limits when they change
    Given a proxy for open traffic with 1 endpoints
    When the limits item sets idle_ms to 700
    Then the front is told idle_ms 700 once

  Scenario: More bodies than memory has room for are refused as not run
    Given a front with header_bytes 1000, body_bytes 99000000, header_ms 300, idle_ms 2500
    When a client sends a body told as 90000000 bytes
    Then it is answered 503, and another client is served meanwhile

  Scenario Outline: What an endpoint sends is taken strictly
    Given an endpoint that answers with <what>
    When two requests are sent to it, one after the other
    Then the first gets <got>, and the second goes over <over> connection
    Examples:
      | what                                     | got             | over    |
      | a whole answer                           | its own         | the same|
      | a whole answer and more bytes            | its own         | another |
      | a whole answer, and a second one late    | its own         | another |
      | another's answer and then its own        | its own         | another |
      | another's empty answer and then its own  | its own         | another |
      | another's answer and its own in one      | its own         | another |
      | three answers to others                  | another's       | another |
      | another's answer, and then its end       | a fault         | another |
      | an answer that says close                | its own         | another |
      | an answer that says Keep-Alive: timeout=0| its own         | another |
      | an answer of two framings                | a fault         | another |
      | an answer cut short                      | a fault         | another |
      | an answer in another protocol            | a fault         | another |
      | no answer but noise                      | a fault         | another |
      | a chunked answer                         | its own         | the same|

  Scenario Outline: How long an idle connection is used again
    Given an endpoint that answers with <what>
    When a request is sent, and after <s> s one that may run <times>
    Then it goes over <over> connection
    Examples:
      | what                              | s    | times | over     |
      | a whole answer                    | 0.2  | once  | the same |
      | a whole answer                    | 0.4  | once  | another  |
      | a whole answer                    | 2.9  | often | the same |
      | a whole answer                    | 3.1  | often | another  |
      | an answer that says timeout=5     | 4.2  | once  | the same |
      | an answer that says timeout=5     | 4.4  | often | another  |
      | an answer that says timeout=1     | 0.2  | once  | the same |
      | an answer that says timeout=1     | 0.4  | often | another  |

  Scenario Outline: An endpoint that speaks or goes before it is asked
    Given an endpoint that <does> as soon as it is connected to
    When a request is sent to it alone
    Then it is told a fault, and nothing broke
    Examples:
      | does       |
      | goes       |
      | sends noise|

  Scenario: A connection that its other side has closed is not used for what may run once
    Given an endpoint that closes after each answer, without having said so
    When two requests are sent to it, one after the other
    Then the first gets its own, and the second goes over another connection

  Scenario: An endpoint's connections are shared by all proxies
    Given a proxy for open traffic, one of 5, with 2 endpoints that take 12 connections each
    When 10 requests come at once
    Then each endpoint has been sent 2 of them

  Scenario Outline: Cold endpoints get no more from all proxies together than they bear
    Given <n> proxies and <ends> cold endpoints that bear <bears> requests a second each
    When each proxy gets <rate> requests a second for 6 s, and <change>
    Then in no second any of them is sent more than 1.5 times that and 5
    And each is sent at least 0.6 of what it bears over the whole time
    Examples:
      | n  | ends | bears | rate | change                     |
      | 82 | 6    | 7.3   | 4    | nothing else happens       |
      | 82 | 6    | 7.3   | 4    | a third of the proxies goes|
      | 9  | 4    | 6.7   | 20   | nothing else happens       |
      | 9  | 4    | 6.7   | 20   | a third of the proxies goes|
      | 1  | 2    | 7.3   | 40   | nothing else happens       |
      | 30 | 3    | 2     | 5    | nothing else happens       |

  Scenario: A silent endpoint is not waited for alone, and the first whole answer counts
    Given a proxy for open traffic with 2 endpoints
    When a request comes 0 s later
    And 700 ms go by without an answer
    Then it was sent to both endpoints
    When the second answers
    Then its caller gets that answer
    When the first answers
    Then it is answered once, and no work is counted at either

  Scenario: Several silent requests are sent elsewhere as the shared bound pays for them
    Given a proxy for open traffic, one of 12, with 3 endpoints that take 1200 connections each
    When 3 requests fall silent at once, and others are served 50 ms apart
    Then all 3 were sent to a second endpoint, not all at once

  Scenario Outline: What is sent a second time, and what is not
    Given a proxy for open traffic with 3 endpoints, whose rule says <rule>
    When a request comes 0 s later
    And its endpoint <does>
    Then it is sent <n> times, and its caller is told <told>
    Examples:
      | rule                  | does                                  | n | told |
      | once                  | stays silent for most of the aim      | 1 | none |
      | once                  | cuts its answer off                   | 1 | 502  |
      | once                  | answers to another                    | 1 | 502  |
      | once                  | answers 500                           | 1 | 500  |
      | once                  | answers 503 as not run                | 2 | none |
      | once                  | answers 421                           | 2 | none |
      | once                  | can not be reached                    | 2 | none |
      | often                 | cuts its answer off                   | 2 | none |
      | often                 | answers to another                    | 2 | none |
      | often                 | answers 500                           | 2 | none |
      | often, one attempt    | answers 500                           | 1 | 500  |
      | often, one attempt    | stays silent for most of the aim      | 1 | none |
      | often, one attempt    | answers 503 as not run                | 1 | 503  |
      | often                 | answers 200 without a stamp           | 2 | none |
      | once                  | answers 200 without a stamp           | 1 | 502  |
      | once                  | answers in an encoding                | 1 | 502  |
      | once                  | answers 503 and nothing else          | 1 | 502  |
      | often                 | answers 503 and nothing else          | 2 | none |

  Scenario: Whose time is up before anything was sent is told that it did not run
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And 10 s go by for the proxy
    Then each of those that waited is told 503

  Scenario: An endpoint that fails twice in a row is passed over while there are others
    Given a proxy for open traffic with 2 endpoints, whose rule says once
    When endpoint e0 cuts its answers off
    Then after a while only e1 is sent to
    When endpoint e1 is taken away
    Then e0 is sent to again

  Scenario: An endpoint that says nothing gets no more while there are others
    Given a proxy for open traffic with 2 endpoints, whose rule says once
    When e0 falls silent, and 60 requests come, 20 ms apart
    Then e0 has been sent no more than 17 of them, and e1 the rest

  Scenario: A slow endpoint gets less
    Given a proxy for open traffic with 2 endpoints
    When e0 takes 300 ms and e1 takes 100 ms, and 200 requests come, 50 ms apart
    Then e1 is sent more than twice as many as e0

  Scenario: Without a lease a request waits a moment, and is then told when to come back
    Given a proxy for open traffic with 1 endpoints
    When the lease runs out
    And a request comes 0 s later
    Then after 90 ms nothing is told, and after 140 ms it is refused with a third of its time
    When a request comes 0 s later
    And the lease comes back 50 ms later
    Then the request is sent

  Scenario: Who waits for room is served by rank
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And the endpoint has room again for one
    Then the one of rank 0 is sent

  Scenario: A crowd that waits costs one look at its pool, not one each
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and 200 more requests come
    And the endpoint has room again for one
    Then one of them is sent, and the pool was looked at no more than 3 times

  Scenario: A caller that goes away while its request waits is forgotten
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And their callers hang up
    And the endpoint has room again for one
    Then none of them is sent

  Scenario: What is of the caller's connection stays there, the rest is passed on
    Given a proxy for open traffic with 1 endpoints
    When a request comes with headers connection=close, x-own, zt-id and x-own=1 and x-other=2 and te=trailers and expect=100-continue
    Then its endpoint gets headers host=h and x-other=2 and zt-id=id1, its time left and who is meant
