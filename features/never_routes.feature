Feature: What must never happen, does not: configuration and endpoints
  Every checker uses only what callers, endpoints, operators and applications
  observed. Each row runs a scenario with faults: with all guards on the checker
  finds nothing; with the named guard switched off, the same scenario makes it
  find a violation.

  Scenario Outline: <checker>: held by <guard>
    Given days of <faults> under seeds <seeds>
    Then checker <checker> finds nothing
    And with guard <guard> off it finds something
    Examples:
      | checker           | guard                 | faults                                   | seeds |
      | drained-reached   | view leases           | stale_drain                              | 1,2,3 |
      | newcomer-reached  | asking who is there   | stale_passed_on                          | 1,2,3 |
      | gone-reached      | keeping the gone      | beats_late                               | 1,2,3 |
      | config-in-force   | view leases           | stale_move                               | 1,2,3 |
      | config-in-force   | publishing to proxies | move_pool                                | 1,2,4 |
      | conflicts         | bases                 | operators_collide                        | 1,2   |
      | evacuated-reached | evacuation            | evacuate                                 | 1,2   |
      | evacuated-reached | view leases           | stale_evacuate                           | 1,2,3 |
      | gone-reached      | view leases           | stale_gone                               | 1,2,3 |
