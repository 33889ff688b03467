Feature: A call to an endpoint acts once and is answered as itself, whatever its connection does
  A real proxy on loopback, between clients and two endpoints that are raw
  sockets. The first endpoint that gets the request does what the row says; the
  others serve it. A once request runs at most once; an often request may be
  retried. docs/notes/worst-days/calls.md describes the same rows.

  Scenario Outline: <kind>, and the endpoint <does>
    Given a proxy on loopback with two scripted endpoints
    When a <kind> request is sent to an endpoint that <does>
    Then its client gets <status>, and it ran <runs> times
    And no guarantee about calls is violated
    Examples: before the answer
      | kind  | does                   | status | runs |
      | once  | serves                 | 200    | 1    |
      | often | serves                 | 200    | 1    |
      | once  | is silent              | 504    | 1    |
      | often | is silent              | 200    | 2    |
      | once  | resets before it reads | 502    | 0    |
      | often | resets before it reads | 200    | 1    |
      | once  | closes before it reads | 502    | 0    |
      | once  | resets after it reads  | 502    | 1    |
      | often | resets after it reads  | 200    | 2    |
      | once  | closes after it reads  | 502    | 1    |
    Examples: within the answer
      | kind  | does                         | status | runs |
      | once  | resets within the headers    | 502    | 1    |
      | often | resets within the headers    | 200    | 2    |
      | once  | closes within the headers    | 502    | 1    |
      | once  | is silent within the headers | 504    | 1    |
      | once  | resets after the headers     | 502    | 1    |
      | once  | closes after the headers     | 502    | 1    |
      | once  | resets within the body       | 502    | 1    |
      | often | resets within the body       | 200    | 2    |
      | once  | closes within the body       | 502    | 1    |
      | once  | is silent within the body    | 504    | 1    |
      | once  | closes after the answer      | 200    | 1    |
    Examples: refusals
      | kind  | does                                       | status | runs |
      | once  | refuses with 421                           | 200    | 1    |
      | once  | refuses with 503                           | 200    | 1    |
      | often | refuses with 503                           | 200    | 1    |
      | once  | refuses with 421 and cuts that off         | 502    | 0    |
      | once  | runs it and says 421 without an id         | 502    | 1    |
      | often | runs it and says 421 without an id         | 200    | 2    |
      | once  | runs it and says 503 not run without an id | 502    | 1    |
      | once  | runs it and says 421 to another            | 502    | 1    |
      | once  | runs it and says 421 to three others       | 502    | 1    |
      | once  | runs it and says 421 to two ids at once    | 502    | 1    |
      | once  | runs it and says 503 and nothing else      | 502    | 1    |
    Examples: twice, late, another's
      | kind  | does                        | status | runs |
      | once  | answers twice               | 200    | 1    |
      | once  | answers another's first     | 200    | 1    |
      | once  | answers another's 421 first | 200    | 1    |
      | often | answers another's 421 first | 200    | 1    |
      | once  | answers another's only      | 502    | 1    |
      | often | answers another's only      | 200    | 2    |
      | once  | answers without an id       | 502    | 1    |
    Examples: failures of its own
      | kind  | does           | status | runs |
      | once  | fails with 500 | 500    | 1    |
      | once  | fails with 504 | 504    | 1    |
      | once  | fails with 404 | 404    | 1    |
      | often | fails with 500 | 200    | 2    |

  Scenario Outline: On a kept connection, <kind>, and the endpoint <does>
    Given a proxy on loopback with one scripted endpoint
    When a <kind> request is served, and the next one on its connection is sent to an endpoint that <does>
    Then its client gets <status>, and it ran <runs> times
    And no guarantee about calls is violated
    Examples:
      | kind | does                                      | status | runs |
      | once | resets before it reads                    | 502    | 0    |
      | once | closes before it reads                    | 502    | 0    |
      | once | resets after it reads                     | 502    | 1    |
      | once | closes within the headers                 | 502    | 1    |
      | once | closes within the body                    | 502    | 1    |
      | once | answers the last one again                | 502    | 1    |
      | once | answers the last one again, and then this | 200    | 1    |
      | once | runs it and says 421 without an id        | 502    | 1    |
      | once | runs it and refuses the last one again    | 502    | 1    |

  Scenario: What is sent is bounded by the rule's attempts, hedges and repeats together
    Given a proxy on loopback with two scripted endpoints
    When 40 often requests are each sent to an endpoint that is silent
    Then none was sent to more endpoints than its rule's attempts
    And no guarantee about calls is violated

  Scenario: No request is held past its rule's time
    Given a proxy on loopback with one scripted endpoint
    When a once request with 60000 ms left is sent to an endpoint that is silent
    Then its client gets 504, and it ran 1 times
    And its response came within 250 ms after its rule's timeout

  Scenario: A request with next to no time left is refused, since no endpoint could answer it in that
    Given a proxy on loopback with one scripted endpoint
    When 20 once requests are served after 60 ms each
    And a once request with 20 ms left is sent to an endpoint that is silent
    Then its client gets 503, and it ran 0 times

  Scenario Outline: Endpoints that cut, refuse, double and mix at random, seed <seed>
    Given a proxy on loopback with two scripted endpoints
    When 120 requests of both kinds are sent to endpoints that act at random under seed <seed>
    Then no guarantee about calls is violated
    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
