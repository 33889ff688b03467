Feature: Simulated scenarios of open traffic that once violated a rule
  Each row's faults and seed are kept because they once revealed a defect of the system.

  Scenario Outline: Seed <seed>: <faults>
    Given an open scenario of <faults> under seed <seed>, <shape>
    Then nothing that must never happen happened
    Examples: found
      | seed | shape | faults                                 |
      | 8    | small | roll_term_fronts                       |
      | 1011 | many  | roll_term,masters_in_turn,replies_lost |
      | 9103 | small | replace_core,disk_full,kill_all        |

  Scenario: The work for clients that abandon their requests ends while endpoints are slow (issue 29)
    Given an open scenario of give_up under seed 3, site
    Then checker gone finds nothing in it

  Scenario: While a region's proxies restart one by one, requests with home regions go to no other region (issue 29)
    Given an open scenario of roll_term_region under seed 1, site
    Then checker led_away finds nothing in it
