Feature: What is worked out of the members is worked out once a change

  Scenario: Standing answers do not go through all members
    Given a directory's routes with 500 proxies in 3 cells
    When 200 standing answers for open traffic and 200 for traffic by labels are given
    Then the members were gone through once

  Scenario: A proxy's requests do not go through all members
    Given a directory's routes with 500 proxies in 3 cells
    When a proxy asks 200 times for its share of connections
    Then the members were gone through once

  Scenario: A standing answer names the newest members
    Given a directory's routes with 500 proxies in 3 cells
    And 200 standing answers for open traffic and 200 for traffic by labels are given
    When a change takes all proxies of one cell away but one
    Then the next standing answers there name that proxy first and none that went

  Scenario: Cells that requests name without end are not all kept
    Given a directory's routes with 500 proxies in 3 cells
    When standing answers for 3000 cells that nobody configured are given
    Then the fronts are kept for at most 1000 cells
