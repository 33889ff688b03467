Feature: operate/recover.md carried out on real processes

  Scenario: Every control node and its disk is lost for good
    Given a small fleet under load
    Then 40 further requests get their outcome, and nearly all are executed
    When every control node and its disk is lost, and three empty ones start with other seeds
    Then zinctrailctl recover shows the remaining state, and refuses a missing or wrong confirmation
    When zinctrailctl recover gets an empty control node and the confirmation
    Then another process leads, and the configuration is the one of before
    When 120 more are executed, and no request from before is still in progress
    Then 60 further requests get their outcome, and nearly all are executed
    And no request was executed twice, no response was wrong and no request reported as not run was executed
