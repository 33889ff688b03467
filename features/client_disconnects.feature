Feature: Nobody works for a client that has left
  A client of open traffic may disconnect at any time: the work for its request is cancelled, and none is started.
  A request that runs at most once continues where it was sent, and is sent nowhere else.

  Scenario Outline: A caller goes away while its request is <state>, which may run <times>
    Given a proxy for open traffic with 2 endpoints, whose rule says <times>
    When its request is <state>, and the caller disconnects
    Then <cancelled> calls to endpoints are cancelled, and <left> continue
    When the proxy runs for another 3000 ms
    Then it was sent <sends> times in all, and no call of it counts as in progress
    And the proxy no longer holds the request
    Examples: what may be repeated
      | state                                                                | times | cancelled | left | sends |
      | waiting for a lease                                                  | often | 0         | 0    | 0     |
      | waiting for room                                                     | often | 0         | 0    | 0     |
      | at an endpoint                                                       | often | 1         | 0    | 1     |
      | at an endpoint, and the proxy drains                                 | often | 1         | 0    | 1     |
      | at an endpoint, and the lease is over                                | often | 1         | 0    | 1     |
      | at two endpoints                                                     | often | 2         | 0    | 2     |
      | at the second after the first refused it                             | often | 1         | 0    | 2     |
      | at the second after the first was silent, and the first answered 500 | often | 1         | 0    | 2     |
    Examples: what may run once
      | state                                     | times | cancelled | left | sends |
      | waiting for a lease                       | once  | 0         | 0    | 0     |
      | waiting for room                          | once  | 0         | 0    | 0     |
      | at an endpoint                            | once  | 0         | 1    | 1     |
      | at an endpoint, and the proxy drains      | once  | 0         | 1    | 1     |

  Scenario Outline: A request whose caller has gone, and that may run once, is not sent again when its endpoint <does>
    Given a proxy for open traffic with 2 endpoints, whose rule says once
    When its request is at an endpoint, and the caller disconnects
    And its endpoint <does>
    Then it was sent 1 times in all, and no call of it counts as in progress
    And the proxy no longer holds the request
    Examples:
      | does                   |
      | answers 503 as not run |
      | answers 421            |
      | can not be reached     |
      | cuts its answer off    |

  Scenario: A result that was under way when its call was cancelled changes nothing
    Given a proxy for open traffic with 2 endpoints, whose rule says often
    When its request is at an endpoint, and the caller disconnects
    And the result of the cancelled call arrives
    Then it was sent 1 times in all, and no call of it counts as in progress

  Scenario: Room that a cancelled request leaves goes to one that waits
    Given a proxy for open traffic with 1 endpoints
    When the endpoint is full, and requests of rank 2, 0 and 1 wait
    And the caller of a request at the endpoint disconnects
    Then the one of rank 0 is sent

  Scenario: A proxy that drains does not wait for what its clients have left
    Given a proxy for open traffic with 2 endpoints, whose rule says often
    When its request is at an endpoint, and the proxy drains, and the caller disconnects
    Then the proxy exits as soon as it accepts no more connections

  Scenario: An endpoint that nobody has the patience to wait for does not look like an idle one
    Given a proxy for open traffic with 2 endpoints, whose rule says often
    When e0 is silent, e1 takes 100 ms, and 30 callers connect 600 ms apart and disconnect after 550 ms
    Then e0 has been sent less than a third of them

  Scenario Outline: A client that links our library goes away while its request is <state>, which may run <times>
    Given a proxy with a lease, whose rule says <times>
    When a client's request is <state>, and the client disconnects
    Then <cancelled> of its calls are cancelled, and the proxy holds <held> request of it
    When credit arrives for every waiting request
    Then it was sent <sends> times to endpoints
    Examples:
      | state               | times | cancelled | held | sends |
      | waiting for credit  | often | 0         | 0    | 0     |
      | at an endpoint      | often | 1         | 0    | 1     |
      | waiting for credit  | once  | 0         | 1    | 1     |
      | at an endpoint      | once  | 0         | 1    | 1     |

  Scenario: The work behind a cancelled call of a client's request counts as credit in use for a while
    Given a proxy with a lease, whose rule says often
    When a client's request is at an endpoint, and the client disconnects
    Then its slot stays reserved, and is released after its time
    When the result of the client's cancelled call arrives
    Then no response is sent for it

  Scenario Outline: A cancelled request ends its connection, and says nothing against its endpoint: <when>
    Given an endpoint that responds in full, but first only with <part>
    When a request to it is cancelled <when>
    Then the connection is closed, and no exception is logged
    And the next request gets its response over another connection
    Examples:
      | part                  | when                               |
      | nothing               | before it is connected             |
      | nothing               | once the endpoint has it           |
      | a part of its headers | once the endpoint has it           |
      | a part of its body    | once a part of the answer has come |

  Scenario: A request that is cancelled once its answer is complete changes nothing
    Given an endpoint that responds with a full response
    When a request is sent, and cancelled after its response
    Then it goes over the same connection
