Feature: Days of open traffic that once went wrong
  Each row's troubles and seed are kept because they once showed a fault of ours.

  Scenario Outline: Seed <seed>: <faults>
    Given an open day of <faults> under seed <seed>, <shape>
    Then nothing that must never happen happened
    Examples: found
      | seed | shape | faults                                 |
      | 8    | small | roll_term_fronts                       |
      | 1011 | many  | roll_term,masters_in_turn,replies_lost |
      | 9103 | small | replace_core,disk_full,kill_all        |

  Scenario: Work ends for clients that give up while endpoints are slow (issue 29)
    Given an open day of give_up under seed 3, site
    Then checker gone finds nothing in it

  Scenario: While a region's proxies restart in turn, what has homes is led to no other region (issue 29)
    Given an open day of roll_term_region under seed 1, site
    Then checker led_away finds nothing in it
