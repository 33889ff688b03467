Feature: Days of open traffic that once went wrong
  Each row's troubles and seed are kept because they once showed a fault of ours.

  Scenario Outline: Seed <seed>: <faults>
    Given an open day of <faults> under seed <seed>, <shape>
    Then nothing that must never happen happened
    Examples: found
      | seed | shape | faults                                 |
      | 8    | small | roll_term_fronts                       |
      | 1011 | many  | roll_term,masters_in_turn,replies_lost |
