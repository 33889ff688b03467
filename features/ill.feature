Feature: A real fleet whose clocks jump, links are cut and processes freeze
  The fleet's test hooks (zinctrail.fleet.processes.wrapped_process) cut links and move clocks, signals
  freeze processes. The checks wait for events, not for a time.

  Scenario: Clocks, freezes and cuts
    Given a small fleet under load that can be made ill
    When every process's wall clock jumps back an hour
    Then 60 further requests get their outcome, nearly all run
    And a change is in force
    When every process's wall clock jumps on two hours
    Then 60 further requests get their outcome, nearly all run
    And a change is in force
    When the master is cut from the other control nodes
    Then another leads, and the configuration is still there
    And a change is in force
    When the cut is mended
    Then all are members again, under one master
    When the master is frozen
    Then another leads, and the configuration is still there
    When the frozen one wakes
    Then all are members again, under one master
    When a proxy is cut from our own processes
    Then it is not ready, and drops requests as not run with others to ask
    When the cut is mended
    Then all are members again, under one master
    And 60 further requests get their outcome, nearly all run
    And nothing ran twice, no reply was wrong and no drop was false
