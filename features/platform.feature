Feature: The adapter keeps to PROTOCOL.md
  Calls the adapter in platform/ as PROTOCOL.md shows, before a simulated
  cluster of three control nodes and two proxies in virtual time. The documents
  and calls are in features/support. Real processes: platform_chain.feature.

  Scenario: The first call is taken, and read back as it was sent
    Given a simulated platform
    When the first configuration is sent
    Then the response status is 200
    And the configuration read back is what was sent
    When the first configuration is sent
    Then the response status is 200
    And the configuration read back is what was sent

  Scenario Outline: One field of a route or service
    Given a simulated platform with the first configuration
    When the first configuration is sent under higher versions with <path> set to <value>
    Then the response status is <status>
    And the configuration in force is <result>
    Examples: values that PROTOCOL.md calls invalid
      | path                                                | value          | status | result      |
      | upserts.route_list.0.service_name                   | "nobody"       | 400    | as before   |
      | upserts.route_list.2.weighted_split.1.service_name  | "nobody"       | 400    | as before   |
      | upserts.route_list.0.target_ms                      | 61200          | 400    | as before   |
      | upserts.route_list.0.target_ms                      | 99999999       | 400    | as before   |
      | upserts.route_list.0.host_name                      | ""             | 400    | as before   |
      | upserts.route_list.0.kind                           | "sometimes"    | 400    | as before   |
      | upserts.route_list.0.kind                           | "Idempotent"   | 400    | as before   |
      | upserts.route_list.0.kind                           | ""             | 400    | as before   |
    Examples: values of a wrong type or range, and missing fields
      | path                                                | value          | status | result      |
      | upserts.route_list.0.host_name                      | gone           | 400    | as before   |
      | upserts.route_list.0.host_name                      | 7              | 400    | as before   |
      | upserts.route_list.0.kind                           | gone           | 400    | as before   |
      | upserts.route_list.0.kind                           | true           | 400    | as before   |
      | upserts.route_list.0.kind                           | null           | 400    | as before   |
      | upserts.route_list.0.kind                           | ["idempotent"] | 400    | as before   |
      | upserts.route_list.0.path_prefix                    | "a/"           | 400    | as before   |
      | upserts.route_list.0.path_prefix                    | "/a"           | 400    | as before   |
      | upserts.route_list.0.path_prefix                    | gone           | 400    | as before   |
      | upserts.route_list.0.timeout_ms                     | 0              | 400    | as before   |
      | upserts.route_list.0.timeout_ms                     | -5             | 400    | as before   |
      | upserts.route_list.0.timeout_ms                     | "1200"         | 400    | as before   |
      | upserts.route_list.0.timeout_ms                     | gone           | 400    | as before   |
      | upserts.route_list.0.attempt_limit                  | 0              | 400    | as before   |
      | upserts.route_list.0.attempt_limit                  | {}             | 400    | as before   |
      | upserts.route_list.0.priority                       | -1             | 400    | as before   |
      | upserts.route_list.0.home_regions                   | "north"        | 400    | as before   |
      | upserts.route_list.0.home_regions                   | [7]            | 400    | as before   |
      | upserts.route_list.0.service_name                   | gone           | 400    | as before   |
      | upserts.route_list.0.service_name                   | ["sa"]         | 400    | as before   |
      | upserts.route_list.0.service_name                   | null           | 400    | as before   |
      | upserts.route_list.0.name                           | ""             | 400    | as before   |
      | upserts.route_list.0.name                           | gone           | 400    | as before   |
      | upserts.route_list.0.name                           | {"a": 1}       | 400    | as before   |
      | upserts.route_list.0.version_number                 | "9"            | 400    | as before   |
      | upserts.route_list.0.version_number                 | 9.5            | 400    | as before   |
      | upserts.route_list.0.version_number                 | -1             | 400    | as before   |
      | upserts.route_list.0.version_number                 | gone           | 400    | as before   |
      | upserts.route_list.2.weighted_split                 | []             | 400    | as before   |
      | upserts.route_list.2.weighted_split                 | {}             | 400    | as before   |
      | upserts.route_list.2.weighted_split                 | [7]            | 400    | as before   |
      | upserts.route_list.2.weighted_split.0.weight        | -1             | 400    | as before   |
      | upserts.route_list.2.weighted_split                 | [{"service_name": "sa", "weight": 0}] | 400 | as before |
      | upserts.route_list.2.weighted_split.0.weight        | "90"           | 400    | as before   |
      | upserts.route_list.2.weighted_split.0.weight        | gone           | 400    | as before   |
      | upserts.route_list.2.service_name                   | "sa"           | 400    | as before   |
      | upserts.route_list.0                                | 7              | 400    | as before   |
      | upserts.route_list.0                                | null           | 400    | as before   |
      | upserts.route_list.0                                | []             | 400    | as before   |
      | upserts.route_list                                  | {}             | 400    | as before   |
      | upserts.route_list                                  | null           | 400    | as before   |
      | upserts.route_list                                  | "r1"           | 400    | as before   |
      | upserts.service_list.0.name                         | 7              | 400    | as before   |
      | upserts.service_list.0.health_path                  | 7              | 400    | as before   |
      | upserts.service_list.0.connection_limit             | "130"          | 400    | as before   |
      | upserts.service_list.0.cold_per_s                   | "x"            | 400    | as before   |
      | upserts.service_list.0.cold_per_s                   | -1             | 400    | as before   |
      | upserts.service_list                                | 7              | 400    | as before   |
      | upserts.service_list.1.version_number               | []             | 400    | as before   |
      | upserts.limits                                      | 7              | 400    | as before   |
      | upserts.limits                                      | []             | 400    | as before   |
      | upserts.limits.max_body_bytes                       | "x"            | 400    | as before   |
      | upserts.limits.max_header_bytes                     | 0              | 400    | as before   |
      | upserts.limits.version_number                       | gone           | 400    | as before   |
      | upserts                                             | []             | 400    | as before   |
      | upserts                                             | 7              | 400    | as before   |
      | removals                                            | []             | 400    | as before   |
      | removals.route_list                                 | {}             | 400    | as before   |
      | removals.route_list                                 | [{"name": 7, "version_number": 1}] | 400 | as before |
      | removals.route_list                                 | [{"name": "r1"}] | 400  | as before   |
      | removals.route_list                                 | ["r1"]         | 400    | as before   |
    Examples: accepted values
      | path                                                | value          | status | result      |
      | upserts.route_list.0.target_ms                      | 61199          | 200    | as sent     |
      | upserts.route_list.0.kind                           | "non_idempotent" | 200  | as sent     |
      | upserts.route_list.0.service_name                   | "sc"           | 200    | as sent     |
      | upserts.route_list.0.home_regions                   | ["north"]      | 200    | as sent     |
      | upserts.route_list.0.home_regions                   | gone           | 200    | as sent     |
      | upserts.route_list.0.attempt_limit                  | 1              | 200    | as sent     |
      | upserts.route_list.0.a_later_field                  | {"x": [1]}     | 200    | as sent     |
      | upserts.route_list.0.host_name                      | "Ünö.example"  | 200    | as sent     |
      | upserts.route_list.0.host                           | 7              | 200    | as sent     |
      | upserts.route_list.0.pool                           | "nobody"       | 200    | as sent     |
      | upserts.route_list.0.once                           | "x"            | 200    | as sent     |
      | upserts.route_list.0.~once                          | 1              | 200    | as sent     |
      | upserts.service_list.0.connections                  | "x"            | 200    | as sent     |
      | upserts.limits.idle_ms                              | -1             | 200    | as sent     |
      | upserts.route_list.2.weighted_split.0.weight        | 0.5            | 200    | as sent     |
      | upserts.route_list.2.weighted_split.0.weight        | 0              | 200    | as sent     |
      | upserts.route_list.0.path_prefix                    | "/r2/"         | 200    | as sent     |
      | upserts.service_list.0.cold_per_s                   | 0              | 200    | as sent     |
      | upserts.service_list.0.protocol                     | "h2"           | 200    | as sent     |
      | upserts.service_list.0.tls_enabled                  | true           | 200    | as sent     |
      | upserts.limits.idle_timeout_ms                      | 100            | 200    | as sent     |
      | upserts.limits.a_later_field                        | 1.5            | 200    | as sent     |

  Scenario Outline: The highest version of a name holds, set or dropped
    Given a simulated platform with the first configuration
    When these route changes are sent: <sent>
    Then their response statuses are, in order: <statuses>
    And the version of r1 in force is <version>
    Examples:
      | sent                            | statuses      | version   |
      | set 9                           | 200           | 9         |
      | set 5                           | 200           | 7         |
      | set 7                           | 409           | 7         |
      | set 9, set 8                    | 200, 200      | 9         |
      | set 9, set 9                    | 200, 200      | 9         |
      | set 9, set 40, set 12           | 200, 200, 200 | 40        |
      | drop 9                          | 200           | none      |
      | drop 7                          | 409           | 7         |
      | drop 6                          | 200           | 7         |
      | drop 9, set 8                   | 200, 200      | none      |
      | drop 9, set 9                   | 200, 409      | none      |
      | drop 9, set 10                  | 200, 200      | 10        |
      | drop 9, drop 12, set 11         | 200, 200, 200 | none      |
      | set 20, drop 9                  | 200, 200      | 20        |
      | set 20, drop 20                 | 200, 409      | 20        |
      | set 20, drop 9, set 9           | 200, 200, 409 | 20        |

  Scenario: A refusal for a version that is another content's names the item, and holds on
    Given a simulated platform with the first configuration
    When these route changes are sent: drop 7
    Then the refusal names r1 of route_list at version 7, with version 7 in force, and has no Retry-After

  Scenario: A name that never stood may be dropped, and then an older one does not come
    Given a simulated platform with the first configuration
    When r8 is dropped at version 9
    Then the response status is 200
    When r8 is set at version 8
    Then the response status is 200
    And the configuration read back is what was sent first

  Scenario: Nothing of an invalid call takes effect, whatever else is in it
    Given a simulated platform with the first configuration
    When a call sets r1 at 9, drops r2 at 9, and sets a route to an unknown service
    Then the response status is 400
    And the configuration in force is as before

  Scenario: A route may name a service of the same call, and of an earlier one
    Given a simulated platform with the first configuration
    When a call sets service sd and a route to it
    Then the response status is 200
    When a call sets another route to sd alone
    Then the response status is 200

  Scenario: A configuration of many routes
    Given a simulated platform with the first configuration
    When a call sets 600 more routes
    Then the response status is 200
    And all of them are read back

  Scenario Outline: A call whose body can not be read
    Given a simulated platform with the first configuration
    When each call that takes a body is sent with <body>
    Then each response is 400 at once, and the state is unchanged
    Examples:
      | body                |
      | cut short           |
      | no JSON             |
      | bytes of no text    |
      | a list              |
      | a number            |
      | null                |
      | nested very deeply  |
      | NaN                 |
      | a number of 9000 digits |

  Scenario Outline: A field of a wrong type, in every call
    Given a simulated platform with the first configuration
    When each field of <call> in turn is given each wrong value
    Then each call is accepted or refused with a 4xx status, and a refused call changes nothing
    And valid calls are still accepted
    Examples:
      | call               |
      | a heartbeat        |
      | a lock acquisition |
      | a lock renewal     |
      | a lock release     |
      | a number           |
      | a put              |
      | a change           |

  Scenario Outline: Calls that there are not
    Given a simulated platform with the first configuration
    When a client calls <method> <path>
    Then the response status is <status>
    Examples:
      | method | path                     | status |
      | GET    | /                        | 404    |
      | GET    | /v1                      | 404    |
      | GET    | /v1/nothing              | 404    |
      | GET    | /v2/configuration        | 404    |
      | DELETE | /v1/configuration        | 405    |
      | PUT    | /v1/configuration        | 405    |
      | GET    | /v1/instances/i-1        | 405    |
      | PUT    | /v1/instances            | 404    |
      | POST   | /v1/evacuation/nowhere   | 404    |
      | DELETE | /v1/evacuation/nowhere   | 404    |
      | POST   | /v1/evacuation/          | 404    |
      | GET    | /v1/cells/g.none         | 404    |
      | GET    | /v1/cells/               | 400    |
      | GET    | //[x/v1/configuration    | 404    |
      | GET    | /v1/cells/%ff%00         | 404    |
      | GET    | /v1/watch/g1.?after=x    | 400    |
      | GET    | /v1/watch/g1.?after=-1   | 400    |
      | GET    | /v1/watch/g1.?after=1&wait_ms=soon | 400 |
      | POST   | /v1/numbers//ours        | 404    |
      | POST   | /v1/numbers/%2Fours      | 400    |

  Scenario: Beats, drain and leaving
    Given a simulated platform with the first configuration
    When endpoint i-1 sends heartbeat 4
    Then the response status is 200
    And i-1 is listed as ready
    When endpoint i-1 sends draining heartbeat 6
    Then the response status is 200
    And i-1 is listed as draining
    When endpoint i-1 sends heartbeat 5
    Then the response status is 200
    And i-1 is listed as draining
    When endpoint i-1 deregisters
    Then the response status is 200
    And i-1 is not listed
    When endpoint i-1 sends heartbeat 7
    Then i-1 is not listed
    When endpoint i-1 deregisters
    Then the response status is 200
    When endpoint i-never deregisters
    Then the response status is 200

  Scenario: A newcomer on an address takes the place of who was there
    Given a simulated platform with the first configuration
    When endpoint i-1 sends heartbeat 4
    And endpoint i-2 of sb sends a heartbeat from the same address
    Then the response status is 200
    And i-1 is not listed
    And i-2 is listed as ready

  Scenario: A beat's answer is small, and a cold endpoint is known as cold until it is warm
    Given a simulated platform with the first configuration
    When endpoint i-1 sends heartbeat 4 with 2500 ms of warm-up remaining
    Then the response status is 200
    And the response body is no larger than 4096 bytes
    And i-1 is listed as warming up
    When endpoint i-1 sends heartbeat 5
    Then i-1 is listed as warm

  Scenario: A zone is evacuated, and taken back
    Given a simulated platform with the first configuration
    When endpoint i-1 sends heartbeat 4
    And a client calls POST /v1/evacuation/z1
    Then the response status is 200
    And the proxies do not use i-1
    When a client calls POST /v1/evacuation/z1
    Then the response status is 200
    When a client calls DELETE /v1/evacuation/z1
    Then the response status is 200
    And i-1 is listed as warming up
    When endpoint i-1 sends heartbeat 5
    Then the proxies use i-1
    When a client calls DELETE /v1/evacuation/z1
    Then the response status is 200

  Scenario: Where clients go
    Given a simulated platform with the first configuration
    Then the resolution for a client of z1 names the ingress of z1 and one other, for 2 s at most
    And the resolution for a client of an unknown zone names ingresses too
    And readiness is 200 at each proxy, and without control nodes it is 503

  Scenario Outline: A lock
    Given a simulated platform with the first configuration
    When these lock calls are made: <calls>
    Then the statuses of the lock calls are <statuses>
    Examples:
      | calls                                              | statuses               |
      | take a                                             | 200                    |
      | take a, take b                                     | 200, 409               |
      | take a, take a                                     | 200, 200               |
      | take a, renew a, renew b                           | 200, 200, 409          |
      | take a, free a, take b                             | 200, 200, 200          |
      | take a, free b, take b                             | 200, 200, 409          |
      | take a, free a, free a                             | 200, 200, 200          |
      | take a, free a, renew a                            | 200, 200, 409          |
      | take a, after 4000 ms, take b                      | 200, 200               |
      | take a, after 4000 ms, take b, renew a             | 200, 200, 409          |
      | take a, after 2000 ms, renew a, after 2000 ms, take b | 200, 200, 409       |
      | take a, stale renew a                              | 200, 409               |
      | take a, stale free a, take b                       | 200, 200, 409          |
      | take a, take a, stale free a, take b               | 200, 200, 200, 409     |
      | take a, take a, renew a                            | 200, 200, 200          |
      | free a                                             | 200                    |
      | renew a                                            | 409                    |

  Scenario: Fences rise from holder to holder
    Given a simulated platform with the first configuration
    When these lock calls are made: take a, free a, take b, free b, take a, after 4000 ms, take c
    Then each fence number is higher than the previous one

  Scenario: Numbers rise
    Given a simulated platform with the first configuration
    When 12 numbers are requested, from each control node in turn
    Then each value is higher than the previous one

  Scenario: Small keys
    Given a simulated platform with the first configuration
    Then these puts and reads get these responses
      | call             | concerns | status | revision |
      | put g1.a v1      | 0        | 200    | 1        |
      | get g1.a         |          | 200    | 1        |
      | put g1.b v2      | 0        | 200    | 2        |
      | put g1.a v3      | 0        | 412    | 1        |
      | put g1.a v3      | 1        | 200    | 3        |
      | put g1.a v3      | 1        | 200    | 3        |
      | put g1.a v1      | 0        | 200    | 1        |
      | get g1.a         |          | 200    | 3        |
      | put g1.a v4      | 2        | 412    | 3        |
      | put g2.a v5      | 0        | 200    | 1        |
      | put g2.b v6      | 9        | 412    | 0        |
      | get g2.b         |          | 404    |          |
      | put g1.x.y v7    | 0        | 200    | 4        |
      | put plain v8     | 0        | 200    | 1        |

  Scenario: A watch
    Given a simulated platform with the first configuration
    When 4 values are put to g1.a and g1.b in turn
    Then a watch of g1. after 0 returns revision 4 and no events, at once
    And a watch of g1. after 1 returns revisions 2,3,4 at once
    And a watch of g1. after 4 waiting 2000 ms returns none after 2000 ms
    And a watch of g1. after 4 returns a put within 200 ms of its response
    And a watch of g1. after 1 still returns all later changes after 20 s
    And a watch of g1. after 1 gets 410 once its history is removed

  Scenario Outline: A refusal tells when to come back, in seconds and fractions
    Given a simulated platform with the first configuration
    When all control nodes but one are down, and the remaining one gets the call <call>
    Then the response status is 503 or 504, and a 503 has a numeric Retry-After
    Examples:
      | call                        |
      | PATCH /v1/configuration     |
      | GET /v1/configuration       |
      | POST /v1/locks/l1           |
      | POST /v1/numbers/n1         |
      | PUT /v1/cells/g1.a          |
      | POST /v1/evacuation/z1      |
