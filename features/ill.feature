Feature: A real fleet whose clocks jump, links are cut and processes freeze
  The fleet's test hooks (zinctrail.fleet.processes.wrapped_process) cut links and move clocks, signals
  freeze processes. The checks wait for events, not for a time.

  Scenario: Clocks, freezes and cuts
    Given a small fleet under load with fault injection
    When every process's wall clock jumps back an hour
    Then 60 further requests get their outcome, and nearly all are executed
    And a change is in force
    When every process's wall clock jumps on two hours
    Then 60 further requests get their outcome, and nearly all are executed
    And a change is in force
    When the leader is partitioned from the other control nodes
    Then another process leads, and the configuration is unchanged
    And a change is in force
    When the partition is healed
    Then all are members again, under one leader
    When the leader is frozen
    Then another process leads, and the configuration is unchanged
    When the frozen process resumes
    Then all are members again, under one leader
    When a proxy is partitioned from all other processes of the fleet
    Then it is not ready, and refuses requests as not run with the addresses of other proxies
    When the partition is healed
    Then all are members again, under one leader
    And 60 further requests get their outcome, and nearly all are executed
    And no request was executed twice, no response was wrong and no request reported as not run was executed
