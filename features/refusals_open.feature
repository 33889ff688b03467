Feature: What a proxy does not send on of open traffic
  Like refusals.feature, for requests that are matched by host and path.

  Scenario Outline: A slow request is sent a second time only where its rule allows <attempts> attempts
    Given a proxy of open traffic whose rule allows <attempts> attempts
    When a request gets no response for 1500 ms
    Then it has been sent <sends> times
    Examples:
      | attempts | sends |
      | 1        | 1     |
      | 2        | 2     |

  Scenario: A slow request is not sent a second time once the lease is over
    Given a proxy of open traffic whose rule allows 2 attempts
    When a request gets no response for 1500 ms, and the lease ends after 100 ms
    Then it has been sent 1 times

  Scenario Outline: A proxy with more requests than it may hold, in all or for one service, refuses the next at once
    Given a proxy of open traffic that may hold <most> requests, and whose endpoints are silent
    When <count> requests arrive
    Then 3 of them are refused at once as <reason>
    Examples:
      | most | count | reason                             |
      | 1    | 4     | busy                               |
      | 6    | 6     | busy with requests for one service |

  Scenario: A request that was sent is not sent to another endpoint once the lease is over
    Given a proxy of open traffic whose rule allows 2 attempts
    When the endpoint of a request is unreachable, and the lease has expired by then
    Then it has been sent 1 times

  Scenario Outline: A request's id has from 1 to 200 characters: <length>
    Given a proxy of open traffic whose rule allows 2 attempts
    When a request arrives with an id of <length> characters
    Then it has been sent <sends> times
    Examples:
      | length | sends |
      | 0      | 0     |
      | 200    | 1     |
      | 201    | 0     |

  Scenario: A rule with shares sends nothing to a pool whose weight is 0
    Given a proxy of open traffic whose rule gives pool s all of the weight, and the pool after it none
    When 6 requests arrive
    Then it has been sent 6 times
