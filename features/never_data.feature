Feature: What must never happen, does not: requests
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
      | run-twice         | claims                | outcome_lost+storm                       | 1,2   |
      | false-not-run     | unknown outcomes      | outcome_lost                             | 1,2   |
      | false-not-run     | closing claims        | end_crashes+storm                        | 1,2   |
      | wrong-outcome     | the seal              | garbled                                  | 1,2   |
      | cold-overrun      | warmth                | cold_crowd                               | 1,2   |
      | cold-overrun      | credit until the work ends | impatient                           | 3,4   |
      | repeats           | the repeat bound      | storm                                    | 1,2   |
      | repeats           | counting what is sent | starved                                  | 3,4   |
      | home-regions      | home                  | region_lost                              | 1,2   |
      | home-regions      | homes of claims       | homes_change                             | 1,2   |
