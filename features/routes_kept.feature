Feature: What is worked out of the members is worked out once a change

  Scenario: Standing answers do not go through all members
    Given a directory with 500 proxies in 3 zones
    When 200 lookup responses for open traffic and 200 for traffic by labels are given
    Then the members were iterated over once

  Scenario: A proxy's requests do not go through all members
    Given a directory with 500 proxies in 3 zones
    When a proxy computes its share of connections 200 times
    Then the members were iterated over once

  Scenario: A standing answer names the newest members
    Given a directory with 500 proxies in 3 zones
    And 200 lookup responses for open traffic and 200 for traffic by labels are given
    When a change removes all proxies of one zone but one
    Then the next lookup responses there name that proxy first, and no removed one

  Scenario: Cells that requests name without end are not all kept
    Given a directory with 500 proxies in 3 zones
    When lookup responses for 3000 unconfigured zones are given
    Then ingresses are cached for at most 1000 zones
