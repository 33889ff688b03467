Feature: The platform's settings are checked, all faults told with their places
  The settings file that a program gets at its start (DEPLOY.md) becomes flags
  of the product. Changes while it runs: settings.feature.

  Scenario: Settings as the page shows them
    Then the settings of an edge machine become these flags
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
      | memory_mb          | 300                          |
      | file_descriptors   | 4100                         |
    And the settings of a core machine also give two API addresses, the data folder and the directory flag

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
    Examples: refused, with the place of the error
      | place                            | value              | verdict               |
      | ip_address                       | gone               | refused at ip_address    |
      | ip_address                       | "here"             | refused at ip_address    |
      | ip_address                       | 7                  | refused at ip_address    |
      | zone                             | gone               | refused at zone          |
      | zone                             | ""                 | refused at zone          |
      | region                           | ["north"]          | refused at region        |
      | zones                            | gone               | refused at zones         |
      | zones                            | ["z1"]             | refused at zones         |
      | zones                            | {"z1": 7}          | refused at zones         |
      | internal_port_range              | gone               | refused at internal_port_range |
      | internal_port_range              | [7620]             | refused at internal_port_range |
      | internal_port_range              | [7620, "7635"]     | refused at internal_port_range |
      | internal_port_range              | [7635, 7620]       | refused at internal_port_range |
      | internal_port_range              | [true, 7]          | refused at internal_port_range |
      | internal_port_range              | [7620, 99999]      | refused at internal_port_range |
      | internal_port_range              | 7620               | refused at internal_port_range |
      | seed_nodes                       | "10.1.0.17:8649"   | refused at seed_nodes    |
      | seed_nodes                       | ["10.1.0.17"]      | refused at seed_nodes    |
      | seed_nodes                       | [null]             | refused at seed_nodes    |
      | listen_addresses                 | gone               | refused at listen_addresses |
      | listen_addresses                 | []                 | refused at listen_addresses |
      | listen_addresses.front_http      | 8641               | refused at listen_addresses.front_http |
      | listen_addresses.readiness       | "x:y"              | refused at listen_addresses.readiness |
      | data_directory                   | 7                  | refused at data_directory |
      | bounds                           | 7                  | refused at bounds        |
      | bounds.contact_ms                | "5000"             | refused at bounds.contact_ms |
      | bounds.contact_ms                | -1                 | refused at bounds.contact_ms |
      | bounds.ttl_max_s                 | true               | refused at bounds.ttl_max_s |
      | bounds.retry_budget_ratio        | {}                 | refused at bounds.retry_budget_ratio |
      | beat_interval_ms                 | "x"                | refused at beat_interval_ms |
      | first_start                      | gone               | refused at first_start   |
      | first_start                      | "false"            | refused at first_start   |
      | first_start                      | 0                  | refused at first_start   |
      | fault_tolerance.machine_losses   | "1"                | refused at fault_tolerance.machine_losses |
    Examples: accepted
      | place                            | value              | verdict               |
      | seed_nodes                       | []                 | accepted              |
      | seed_nodes                       | gone               | accepted              |
      | data_directory                   | null               | accepted              |
      | data_directory                   | gone               | accepted              |
      | bounds                           | gone               | accepted              |
      | bounds.contact_ms                | gone               | accepted              |
      | bounds.contact_ms                | 4000.5             | accepted              |
      | bounds.contact_ms                | 1500               | accepted              |
      | bounds.contact_ms                | 60000              | accepted              |
      | bounds.ttl_max_s                 | 0.5                | accepted              |
      | bounds.retry_budget_ratio        | 0                  | accepted              |
      | bounds.retry_budget_ratio        | 1                  | accepted              |
      | bounds.retry_budget_slack        | 0                  | accepted              |
      | bounds.a_later_bound             | "x"                | accepted              |
      | a_later_field                    | {"x": [7]}         | accepted              |
      | listen_addresses.a_later_one     | 7                  | accepted              |
      | contracts                        | 7                  | accepted              |
      | first_start                      | false              | accepted              |
      | fault_tolerance                  | gone               | accepted              |
      | fault_tolerance.machine_losses   | 2                  | accepted              |
      | limits                           | null               | accepted              |
      | serves                           | []                 | accepted              |

  Scenario Outline: Both programs end with 2, and tell every fault and its place, where <what>
    Then zinctrail-controller and zinctrail-proxy started with <what> exit with 2 and print <lines>
    Examples:
      | what                    | lines                                              |
      | no file named           | ZINCTRAIL_SETTINGS: is not set                     |
      | a file that is not      | No such file                                       |
      | half a document         | line 1 column                                      |
      | a list                  | must hold an object                                |
      | three faults            | ip_address:, zones:, bounds.ttl_max_s:             |
      | bytes of no text        | codec can't decode                                 |
