Feature: The platform's settings are checked, all faults told with their places
  What a program is told at its start (DEPLOY.md), as flags of ours. Changes
  while it runs: settings.feature.

  Scenario: Settings as the page shows them
    Then an edge machine's become these flags
      | flag               | value                        |
      | addr               | 10.1.0.15:7620               |
      | http               | 10.1.0.15:7621               |
      | cell               | north/z1                     |
      | seeds              | 10.1.0.17:7620,10.2.0.44:7620 |
      | doors              | 10.1.0.15:8640               |
      | front              | 10.1.0.15:8641               |
      | touch_ms           | 5000                         |
      | lease_ms           | 3750                         |
      | check_ms           | 400                          |
      | beat_ms            | 1500                         |
      | grace_ms           | 6000                         |
      | answer_ms          | 2000                         |
      | repeat_window_ms   | 10000                        |
      | repeat_share       | 0.2                          |
      | repeat_allowance   | 52                           |
      | first_start        | true                         |
      | least_voters       | 3                            |
    And a core machine's become, beside these, two doors, its data folder, and the directory's duty

  Scenario Outline: What a control node is told of the first start and of the losses to be borne reaches it
    Guards against review/1: nothing read these fields.
    When the setting <place> is <value>
    Then the flag <flag> is <becomes>
    Examples:
      | place                          | value | flag         | becomes |
      | first_start                    | true  | first_start  | true    |
      | first_start                    | false | first_start  | false   |
      | fault_tolerance.machine_losses | 0     | least_voters | 1       |
      | fault_tolerance.machine_losses | 2     | least_voters | 5       |

  Scenario Outline: One field
    When the setting <place> is <value>
    Then the settings are <verdict>
    Examples: told, with its place
      | place                            | value              | verdict               |
      | ip_address                       | gone               | told at ip_address    |
      | ip_address                       | "here"             | told at ip_address    |
      | ip_address                       | 7                  | told at ip_address    |
      | zone                             | gone               | told at zone          |
      | zone                             | ""                 | told at zone          |
      | region                           | ["north"]          | told at region        |
      | zones                            | gone               | told at zones         |
      | zones                            | ["z1"]             | told at zones         |
      | zones                            | {"z1": 7}          | told at zones         |
      | internal_port_range              | gone               | told at internal_port_range |
      | internal_port_range              | [7620]             | told at internal_port_range |
      | internal_port_range              | [7620, "7635"]     | told at internal_port_range |
      | internal_port_range              | [7635, 7620]       | told at internal_port_range |
      | internal_port_range              | [true, 7]          | told at internal_port_range |
      | internal_port_range              | [7620, 99999]      | told at internal_port_range |
      | internal_port_range              | 7620               | told at internal_port_range |
      | seed_nodes                       | "10.1.0.17:8649"   | told at seed_nodes    |
      | seed_nodes                       | ["10.1.0.17"]      | told at seed_nodes    |
      | seed_nodes                       | [null]             | told at seed_nodes    |
      | listen_addresses                 | gone               | told at listen_addresses |
      | listen_addresses                 | []                 | told at listen_addresses |
      | listen_addresses.front_http      | 8641               | told at listen_addresses.front_http |
      | listen_addresses.readiness       | "x:y"              | told at listen_addresses.readiness |
      | data_directory                   | 7                  | told at data_directory |
      | bounds                           | 7                  | told at bounds        |
      | bounds.contact_ms                | "5000"             | told at bounds.contact_ms |
      | bounds.contact_ms                | -1                 | told at bounds.contact_ms |
      | bounds.ttl_max_s                 | true               | told at bounds.ttl_max_s |
      | bounds.retry_budget_ratio        | {}                 | told at bounds.retry_budget_ratio |
      | beat_interval_ms                 | "x"                | told at beat_interval_ms |
      | first_start                      | gone               | told at first_start   |
      | first_start                      | "false"            | told at first_start   |
      | first_start                      | 0                  | told at first_start   |
      | fault_tolerance.machine_losses   | "1"                | told at fault_tolerance.machine_losses |
    Examples: fine
      | place                            | value              | verdict               |
      | seed_nodes                       | []                 | fine                  |
      | seed_nodes                       | gone               | fine                  |
      | data_directory                   | null               | fine                  |
      | data_directory                   | gone               | fine                  |
      | bounds                           | gone               | fine                  |
      | bounds.contact_ms                | gone               | fine                  |
      | bounds.contact_ms                | 4000.5             | fine                  |
      | bounds.contact_ms                | 1500               | fine                  |
      | bounds.contact_ms                | 60000              | fine                  |
      | bounds.ttl_max_s                 | 0.5                | fine                  |
      | bounds.retry_budget_ratio        | 0                  | fine                  |
      | bounds.retry_budget_ratio        | 1                  | fine                  |
      | bounds.retry_budget_slack        | 0                  | fine                  |
      | bounds.a_later_bound             | "x"                | fine                  |
      | a_later_field                    | {"x": [7]}         | fine                  |
      | listen_addresses.a_later_one     | 7                  | fine                  |
      | contracts                        | 7                  | fine                  |
      | first_start                      | false              | fine                  |
      | fault_tolerance                  | gone               | fine                  |
      | fault_tolerance.machine_losses   | 2                  | fine                  |
      | limits                           | null               | fine                  |
      | serves                           | []                 | fine                  |

  Scenario Outline: Both programs end with 2, and tell every fault and its place, where <what>
    Then zinctrail-controller and zinctrail-proxy started with <what> end with 2 and say <lines>
    Examples:
      | what                    | lines                                              |
      | no file named           | ZINCTRAIL_SETTINGS: is not set                     |
      | a file that is not      | No such file                                       |
      | half a document         | line 1 column                                      |
      | a list                  | must hold an object                                |
      | three faults            | ip_address:, zones:, bounds.ttl_max_s:             |
      | bytes of no text        | codec can't decode                                 |
