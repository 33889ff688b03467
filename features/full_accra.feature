Feature: accra at its full size and rates

  Scenario: accra through kill_master+storm+region_lost
    Given a full day of accra with kill_master+storm+region_lost
    Then nothing that must never happen happened
