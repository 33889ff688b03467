Feature: What must never happen to open traffic, does not: requests and endpoints
  Every checker uses only what clients, endpoints and operators observed. Each
  row runs a scenario with faults: with all guards on the checker finds nothing;
  with the named guard switched off, the same scenario makes it find a
  violation.

  Scenario Outline: <checker>: held by <guard>
    Given open days of <faults> under seeds <seeds>
    Then checker <checker> finds nothing
    And with guard <guard> off it finds something
    Examples:
      | checker        | guard                    | faults                   | seeds |
      | twice          | at most once             | answer_lost_often        | 1     |
      | refused        | unknown outcomes         | answer_lost_often        | 1     |
      | mixed          | whose answer it is       | garble_extra             | 1,2   |
      | mixed          | whole answers            | garble                   | 1,2   |
      | unasked        | the id as it came        | release                  | 1     |
      | route          | naming the incarnation   | node_cut+replace_with_reuse | 3,6,7 |
      | drain          | drain marks              | release+crowd            | 1,2   |
      | lost           | finishing before the end | roll_term_fronts         | 1,2   |
      | held           | patience                 | cold_crowd               | 1,2   |
      | led_away       | homes of lookups         | roll_term_region         | 1,2   |
      | gone           | cancelling               | give_up                  | 3,4   |
      | budget         | the repeat bound         | answer_lost_often+crowd  | 1,2   |
      | failback       | turns at the cold        | cold_crowd               | 1,2,3 |
      | home           | home                     | zone_loss                | 1     |
