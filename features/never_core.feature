Feature: What must never happen, does not: kept state and coordination
  Every checker reads only the records of callers, endpoints, operators and
  applications. Each row runs a scenario of injected faults twice: with all guards
  on the checker finds nothing; with the named guard off it finds a violation.

  Scenario Outline: <checker>: held by <guard>
    Given days of <faults> under seeds <seeds>
    Then checker <checker> finds nothing
    And with guard <guard> off it finds something
    Examples:
      | checker           | guard                 | faults                                   | seeds |
      | config-kept       | syncing               | move_pool,kill_all                       | 1,2,3 |
      | config-kept       | all or nothing        | invalid_config                           | 1,2   |
      | locks             | lock terms            | kill_master                              | 1,2   |
      | numbers           | syncing               | kill_all                                 | 1,2,3 |
      | keys              | syncing               | kill_all                                 | 1,2,3 |
      | watches           | telling the floor     | kill_master                              | 1,2   |
      | service-back      | elections             | kill_all                                 | 1,2   |
      | numbers           | ids of calls          | replies_lost                             | 1,2   |
      | keys              | ids of calls          | replies_lost                             | 1,2   |
      | config-kept       | ids of calls          | apply_lost                               | 1,2   |
      | service-back      | elections             | kill_all+storm                           | 1,2   |
