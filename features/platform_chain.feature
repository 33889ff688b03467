Feature: A whole deployment as the platform runs it, in real processes
  platform/controller.py and platform/proxy.py with settings written by a stand-in
  of the platform's template engine, each on a loopback address of its own;
  endpoints and clients speak PROTOCOL.md (features/support/endpoint.py). Verdicts wait on
  events. One deployment serves all scenarios of this file, in their order.

  Scenario: It comes up, takes a first configuration, and tells clients where to go
    Given a deployment of 3 control nodes and 2 proxies
    When the operator sends the first configuration
    Then the operator is answered 200
    And it is read back as sent, at each control node
    And resolutions of each control node name both proxies

  Scenario Outline: A request reaches an endpoint as it was sent, and its answer the client
    Given endpoints of sa
    When a client of the deployment sends <method> <path> with a body <body>
    Then it gets 200 with the endpoint's own seal and body, and its own id
    And the endpoint ran it as it was sent
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
    Then it gets 200 with the endpoint's own seal and body, and its own id
    And its own headers reached the endpoint, and those of its connection did not
    And the endpoint was told what is left of the time, and which instance is meant

  Scenario Outline: What has no route
    When a client of the deployment asks <host> for <path>
    Then it gets <status>
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
    When the first to get a request of <kind> does <does>
    Then the client is told <told>, and it ran <runs>
    And the next request on that route is answered well
    Examples: what may be repeated goes on to another endpoint
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
    Examples: one that may run once does not, if it may have run
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
    When both answer a request well, and once more in the place of the next one
    Then no client is given another answer than its own

  Scenario Outline: The work for a client that <leaves> its connection ends, at <where>
    Given endpoints of sa
    When a client <leaves> its connection while its request is worked on at <where>
    Then each of them sees its own connection close long before the time of the request is over
    And the next request on that route is answered well
    Examples:
      | leaves | where         |
      | closes | one endpoint  |
      | resets | one endpoint  |
      | closes | two endpoints |
      | resets | two endpoints |

  Scenario: Turned away by all, it is refused with a promise and a time to come back
    Given endpoints of sa
    When all of them turn a request away
    Then it is refused with 503 and Retry-After, and ran nowhere

  Scenario: A draining endpoint gets nothing more once its word is in force
    Given endpoints of sc
    When one of them says that it drains, and the proxies know
    Then that took less than drain_ms, and requests run at the other alone
    When it signs off
    Then no process lists it, also after a late beat of its own

  Scenario: What has homes stays in them
    Given endpoints of sa
    When routes to sa come with home_regions south, with north, and with both
    Then through each proxy the first is refused as not run, and the others are served

  Scenario: Another service's endpoint on a dead one's address runs nothing of the first
    Given endpoints of sc
    When one of them ends without a word and an endpoint of sb begins on its address
    Then requests for sc run at it never

  Scenario Outline: Bytes at the front that are no good request
    Given endpoints of sa
    When a client of the deployment sends raw <bytes>
    Then the raw answer is <told>
    And nothing of it ran
    And a good request is answered well
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
    When a client of the deployment sends two requests in one go
    Then both answers come, in that order, each with its own id

  Scenario Outline: Bytes at a control node that are no good call
    When raw <bytes> are sent to a control node
    Then the raw answer is <told>
    And the operator's next call is answered
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
    When a proxy is told to end while requests are at their endpoints
    Then it is not ready any more, and resolutions stop naming it
    And once the endpoints answer, every client has its answer
    And the proxy has ended with code 0 within its grace
    And requests through the other proxy are answered well
    When the ended proxy starts again
    Then resolutions name it again

  Scenario Outline: What its client has left keeps no proxy from its end, and no endpoint at work: <end>
    Given endpoints of sa
    When a client closes its connection at a proxy that was <end>, while its request is worked on at one endpoint
    Then each of them sees its own connection close long before the time of the request is over
    And the proxy has ended within its grace
    When the ended proxy starts again
    Then resolutions name it again
    Examples:
      | end         |
      | told to end |
      | killed      |

  Scenario: SIGTERM at the leader: changes go on, and what was acknowledged stays
    When the leader is told to end while the operator sends changes
    Then each acknowledged change is read back
    And the leader has ended with code 0 within its grace
    When the ended control node starts again
    Then the operator's next call is answered

  Scenario: An operator without the platform has the items and the emptying too
    Given endpoints of sa
    When an operator applies items from a file by zinctrailctl
    Then they are in its table of versions, and in what it gets
    And the platform's operator reads them in its own words
    When the file is applied again, and an older one
    Then nothing was taken, and that is told
    When a file with another content under its version is applied
    Then it ends with 3 and names the item, and nothing was changed
    When a file with three faults is applied
    Then it ends with 1 and tells each with its path, and nothing was changed
    When the item is dropped by zinctrailctl
    Then it is gone from both
    When by zinctrailctl one empties the cell north/z1
    Then requests there are refused as not run, and its status says so
    When by zinctrailctl one refills the cell north/z1
    Then a good request is answered well
    And wrong words for items end with 2

  Scenario: All processes are killed at once, and what was acknowledged stays
    Given endpoints of sa
    When every process is killed and starts again
    Then each acknowledged change is read back
    And a good request is answered well

  Scenario: Over all of this
    Then no request ran twice that may run once, and nothing ran that nobody sent
