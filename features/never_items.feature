Feature: What must never happen to open traffic, does not: configuration and coordination
  As in never_open.feature, each row runs a scenario with faults, with all
  guards on and with one switched off.

  Scenario Outline: <checker>: held by <guard>
    Given open days of <faults> under seeds <seeds>
    Then checker <checker> finds nothing
    And with guard <guard> off it finds something
    Examples:
      | checker        | guard                 | faults                    | seeds |
      | config         | publishing to proxies | config_move               | 1,2   |
      | config-back    | versions              | old_version               | 1,2   |
      | config-kept    | versions              | old_version               | 1,2   |
      | config-kept    | syncing               | config_move,power_off_all | 1,2   |
      | config-one     | contents of versions  | config_one_number         | 1,2   |
      | config-refused | checking items        | bad_config                | 1     |
      | denied         | publishing to proxies | config_change             | 1,2   |
      | acks           | elections             | node_kill_master,config_change,config_change | 1,2 |
      | evac           | emptied cells         | evacuate                  | 1     |
      | recover        | elections             | power_off_all             | 1     |
      | one            | lock terms            | node_kill_master          | 1,2   |
      | order          | syncing               | power_off_all             | 1,2   |
      | order          | concerns              | node_kill                 | 1,2   |
      | order          | whole watches         | node_kill                 | 1     |
      | stale          | syncing               | power_off_all             | 1,2   |
      | value          | values known again    | replies_lost              | 1,2   |
      | history        | history               | node_kill                 | 1,2   |
