Feature: A whole deployment as the platform runs it, in real processes
  Runs platform/controller.py and platform/proxy.py with settings rendered by a
  test double of the platform's template engine, each on its own loopback
  address; endpoints and clients follow PROTOCOL.md (features/support/endpoint.py).
  Steps wait for events, not for fixed times. All scenarios of this file share
  one deployment, in their order.

  Scenario: It comes up, takes a first configuration, and tells clients where to go
    Given a deployment of 3 control nodes and 2 proxies
    When the operator sends the first configuration
    Then the operator's response status is 200
    And the configuration is read back as sent at each control node
    And resolutions of each control node name both proxies

  Scenario Outline: A request reaches an endpoint as it was sent, and its answer the client
    Given endpoints of sa
    When a client of the deployment sends <method> <path> with a body <body>
    Then the client gets 200 with the endpoint's own seal and body, and the id of the request
    And the endpoint executed the request as it was sent
    Examples:
      | method | path                           | body                 |
      | GET    | /r1/x                          | none                 |
      | GET    | /r1/                           | none                 |
      | GET    | /r1/a%2Fb/..%2f./c?x=%20;y&y=? | none                 |
      | GET    | /r1//x//                       | none                 |
      | POST   | /r1/x                          | of 5 bytes           |
      | POST   | /r1/x                          | of 5 bytes in chunks |
      | PUT    | /r1/x                          | of 3000000 bytes     |
      | PUT    | /r1/x                          | of 3000000 bytes in chunks |
      | DELETE | /r1/x                          | none                 |
      | PATCH  | /r1/x                          | of 0 bytes           |

  Scenario: Headers of one connection stay on it, others go through
    Given endpoints of sa
    When a client of the deployment sends headers of its own and of its connection
    Then the client gets 200 with the endpoint's own seal and body, and the id of the request
    And the client's own headers reached the endpoint, and those of its connection did not
    And the endpoint received the remaining deadline and the expected instance

  Scenario Outline: What has no route
    When a client of the deployment asks <host> for <path>
    Then the client gets <status>
    Examples:
      | host            | path      | status |
      | hulo.example    | /         | 404    |
      | hulo.example    | /r1       | 404    |
      | hulo.example    | /r11/x    | 404    |
      | other.example   | /r1/x     | 404    |
      | HULO.example    | /r1/x     | 200    |
      | hulo.example:80 | /r1/x     | 200    |

  Scenario Outline: An endpoint that answers badly, or not at all
    Given endpoints of sa
    When the first endpoint to get a request of kind <kind> behaves as <does>
    Then the client gets <told>, and the request was executed <runs>
    And the next request on that route gets a correct response
    Examples: an idempotent request is retried at another endpoint
      | kind           | does   | told             | runs      |
      | idempotent     | cut    | 200              | twice     |
      | idempotent     | reset  | 200              | twice     |
      | idempotent     | leave  | 200              | twice     |
      | idempotent     | bytes  | 200              | twice     |
      | idempotent     | other  | 200              | twice     |
      | idempotent     | bare   | 200              | twice     |
      | idempotent     | silent | 200              | twice     |
      | idempotent     | extra  | 200              | once or twice |
      | idempotent     | twin   | 200              | once or twice |
      | idempotent     | close  | 200              | once or twice |
      | idempotent     | busy   | 200              | once or twice |
      | idempotent     | deny   | 200              | once or twice |
      | idempotent     | move   | 200              | once or twice |
    Examples: a non-idempotent request that may have been executed is not retried
      | kind           | does   | told             | runs      |
      | non_idempotent | cut    | 502 or no answer | once      |
      | non_idempotent | reset  | 502 or no answer | once      |
      | non_idempotent | leave  | 502 or no answer | once      |
      | non_idempotent | bytes  | 502 or no answer | once      |
      | non_idempotent | other  | 504 or no answer | once      |
      | non_idempotent | bare   | 502 or no answer | once      |
      | non_idempotent | silent | 504 or no answer | once      |
      | non_idempotent | own500 | 500              | once      |
      | non_idempotent | extra  | 200              | once      |
      | non_idempotent | twin   | 200              | once      |
      | non_idempotent | close  | 200              | once      |
      | non_idempotent | busy   | 200              | once      |
      | non_idempotent | deny   | 200              | once      |
      | non_idempotent | move   | 200              | once      |

  Scenario: An answer too many, late, in the place of the next one
    Given endpoints of sa
    When both endpoints respond to a request, and send a second response in place of the next one
    Then no client gets the response to another request

  Scenario Outline: The work for a client that <leaves> its connection ends, at <where>
    Given endpoints of sa
    When a client <leaves> its connection while its request is worked on at <where>
    Then each endpoint sees its connection close long before the deadline of the request
    And the next request on that route gets a correct response
    Examples:
      | leaves | where         |
      | closes | one endpoint  |
      | resets | one endpoint  |
      | closes | two endpoints |
      | resets | two endpoints |

  Scenario: Turned away by all, it is refused with a promise and a time to come back
    Given endpoints of sa
    When all endpoints refuse a request
    Then the request is refused with 503 and Retry-After, and no endpoint executes it

  Scenario: A draining endpoint gets nothing more once its word is in force
    Given endpoints of sc
    When one endpoint reports that it is draining, and the drain is in force at the proxies
    Then this took less than drain_ms, and only the other endpoint executes requests
    When the draining endpoint deregisters
    Then no process lists the endpoint, even after a late heartbeat

  Scenario: What has homes stays in them
    Given endpoints of sa
    When routes to sa come with home_regions south, with north, and with both
    Then each proxy refuses requests to the first route before execution, and serves the others

  Scenario: Another service's endpoint on a dead one's address runs nothing of the first
    Given endpoints of sc
    When one endpoint crashes, and an endpoint of sb starts on its address
    Then the new endpoint executes no request for sc

  Scenario Outline: Bytes at the front that are no good request
    Given endpoints of sa
    When a client of the deployment sends the raw bytes of <bytes>
    Then the raw response is <told>
    And no part of it was executed
    And a valid request gets a correct response
    Examples:
      | bytes                              | told                |
      | no id                              | 400                 |
      | an id of 5000 letters              | 400                 |
      | a time left of soon                | 400                 |
      | no host                            | 400                 |
      | two hosts                          | 400                 |
      | a header without a colon           | 400                 |
      | a blank before the colon           | 400                 |
      | a request line of one word         | 400                 |
      | two lengths                        | 400                 |
      | a length of minus one              | 400                 |
      | a length and chunks                | 400                 |
      | chunks under another name          | 400 or 501          |
      | a chunk of a wrong size            | 400 or closed       |
      | headers above the bound            | 431 or 400 or closed |
      | a request line above the bound     | 414 or 431 or 400 or closed |
      | a body above the bound             | 413                 |
      | a body above the bound in chunks   | 413                 |
      | the preface of another protocol    | 400 or 505 or closed |
      | a body that ends early             | 400 or closed       |
      | nothing                            | closed              |

  Scenario: Two requests in one go are answered in their order
    Given endpoints of sa
    When a client of the deployment sends two pipelined requests
    Then both responses arrive in that order, each with its own id

  Scenario Outline: Bytes at a control node that are no good call
    When the raw bytes of <bytes> are sent to a control node
    Then the raw response is <told>
    And the operator's next call succeeds
    Examples:
      | bytes                       | told                 |
      | cut-short JSON              | 400                  |
      | a request line of one word  | 400                  |
      | two lengths                 | 400                  |
      | a length and chunks         | 400                  |
      | headers above the bound     | 431 or 400 or closed |
      | a body above the bound      | 413                  |
      | nothing                     | closed               |

  Scenario: SIGTERM in the middle loses nothing
    Given endpoints of sa
    When a proxy gets SIGTERM while endpoints hold requests
    Then the proxy is no longer ready, and resolutions no longer name it
    And once the endpoints respond, every client gets its response
    And the proxy has exited with code 0 within its grace period
    And requests through the other proxy get correct responses
    When the stopped proxy starts again
    Then resolutions name the proxy again

  Scenario Outline: What its client has left keeps no proxy from its end, and no endpoint at work: <end>
    Given endpoints of sa
    When a client closes its connection at a proxy that was <end>, while its request is worked on at one endpoint
    Then each endpoint sees its connection close long before the deadline of the request
    And the proxy has exited within its grace period
    When the stopped proxy starts again
    Then resolutions name the proxy again
    Examples:
      | end         |
      | told to end |
      | killed      |

  Scenario: SIGTERM at the leader: changes go on, and what was acknowledged stays
    When the leader gets SIGTERM while the operator sends changes
    Then each acknowledged change is read back
    And the leader has exited with code 0 within its grace period
    When the stopped control node starts again
    Then the operator's next call succeeds

  Scenario: An operator without the platform has the items and the emptying too
    Given endpoints of sa
    When an operator applies items from a file by zinctrailctl
    Then the items are in the table of versions and in the items that zinctrailctl gets
    And the platform's operator reads them under the platform's names
    When the file is applied again, and then an older version of it
    Then zinctrailctl reports that it took no item
    When a file with different content under the same version is applied
    Then zinctrailctl exits with 3 and names the item, and the items are unchanged
    When a file with three errors is applied
    Then zinctrailctl exits with 1 and reports each error with its path, and the items are unchanged
    When the item is dropped by zinctrailctl
    Then the item is removed from both
    When an operator by zinctrailctl empties the zone north/z1
    Then requests in that zone are refused before execution, and zinctrailctl status shows the evacuation
    When an operator by zinctrailctl refills the zone north/z1
    Then a valid request gets a correct response
    And wrong arguments of the items command exit with 2

  Scenario: All processes are killed at once, and what was acknowledged stays
    Given endpoints of sa
    When every process is killed and starts again
    Then each acknowledged change is read back
    And a valid request gets a correct response

  Scenario: Over all of this
    Then no non-idempotent request was executed twice, and no request was executed that no client sent
