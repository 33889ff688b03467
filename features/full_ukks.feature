Feature: ukks at its full size and rates

  Scenario: ukks through evacuate+kill_one_each+swap_seeds
    Given a full day of ukks with evacuate+kill_one_each+swap_seeds
    Then nothing that must never happen happened
