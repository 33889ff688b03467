Feature: Whatever ends a request, all that was counted for it is given back, and the next request is served
  Guards against review/7: 80 requests with a character that HTTP doesn't allow in a path kept the endpoints of a proxy
  counted as busy for good, and no ordinary request was served any more.

  Scenario Outline: A request with <what> is refused with 400 on <connection>, and reaches no endpoint
    Given a proxy on loopback with two scripted endpoints
    When 30 requests with <what> are sent on <connection>
    Then each gets 400, and none reaches an endpoint
    And nothing is counted any more, and an ordinary request is served
    Examples:
      | what                               | connection          |
      | DEL in its path                    | a new connection    |
      | DEL in its path                    | a kept connection   |
      | a high byte in its path            | a new connection    |
      | a tab in its query                 | a new connection    |
      | NUL in its path                    | a new connection    |
      | DEL in its method                  | a new connection    |
      | a colon in its method              | a new connection    |
      | a slash in its Host                | a new connection    |
      | DEL in its Host                    | a kept connection   |
      | a blank in its Host                | a new connection    |
      | DEL in a header                    | a new connection    |
      | an escape character in a header    | a kept connection   |
      | a blank in the name of a header    | a new connection    |
      | a line break within a header       | a new connection    |

  Scenario Outline: An answer with <what> gives the client <status>, and the next request is served
    Given a proxy on loopback with two scripted endpoints
    When an endpoint answers a request with <what>
    Then the client gets <status>, without any header that HTTP doesn't allow
    And nothing is counted any more, and an ordinary request is served
    Examples:
      | what                               | status |
      | DEL in a header                    | 200    |
      | an escape character in a header    | 200    |
      | a blank in the name of a header    | 502    |
      | a status of 999                    | 502    |
      | a status that is no number         | 502    |
      | a length that is no number         | 502    |

  Scenario Outline: An exception in <where>, for a request that <kind>, ends that request alone
    Given a proxy on loopback with two scripted endpoints
    When an exception is planted in <where>, and a request that <kind> is sent
    Then it is answered within its deadline, or its connection is closed
    And the exception was raised
    And nothing is counted any more, and an ordinary request is served
    Examples:
      | where                                  | kind          |
      | the translation of the request         | may run again |
      | the choice of a connection             | may run again |
      | the choice of a connection             | may run once  |
      | the opening of a connection            | may run again |
      | the making of the request              | may run again |
      | the making of the request              | may run once  |
      | the sending of the request             | may run again |
      | the reading of the answer              | may run again |
      | the reading of the answer              | may run once  |
      | the translation of the answer          | may run again |
      | the translation of the answer          | may run once  |
      | the writing of the response            | may run again |
      | the writing of the response            | may run once  |

  Scenario Outline: An exception in <stage> of the pipeline ends its request with 500, and gives back what it took
    Given a proxy in virtual time, with two endpoints
    When an exception is planted in <stage>, and a request is served until it is answered
    Then it gets <status>
    And the metric of internal errors counts 1
    And nothing is counted for it after its fetches, and an ordinary request is served
    Examples:
      | stage                        | status |
      | accept                       | 500    |
      | match_route                  | 500    |
      | choose_endpoint              | 500    |
      | send                         | 500    |
      | the making of the fetch      | 500    |
      | the load that is reported    | 500    |
      | the observation of a result  | 500    |
      | check_response               | 500    |
      | respond                      | 500    |
      | the hedge                    | 500    |
      | the deadline                 | 500    |
