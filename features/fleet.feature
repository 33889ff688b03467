Feature: A real fleet of processes on loopback
  The deployment of the quick start, through a killed leader, a drained endpoint,
  an evacuated zone and a restart of all control nodes. Steps wait for events,
  not for fixed times.

  Scenario: The main job, through faults
    Given a small fleet under load
    Then 100 further requests get their outcome, and nearly all are executed
    When the leader is killed
    Then another process leads, and the configuration is unchanged
    And 100 further requests get their outcome, and nearly all are executed
    When the killed control node starts again
    Then it is a member again
    And zinctrailctl's status is a table for people and JSON for scripts
    And zinctrailctl lag queries every member itself, and zinctrailctl duties shows the holder of each role
    And zinctrailctl waits until a change is in force, and no longer than its limit
    When an endpoint drains
    Then none of 100 further requests reaches it
    When zinctrailctl evacuates the zone r1/c0
    Then none of 100 further requests reaches that zone
    When zinctrailctl returns the zone r1/c0
    Then that zone is used again
    When all control nodes are killed and start again
    Then another process leads, and the configuration is unchanged
    And 100 further requests get their outcome, and nearly all are executed
    When a control node is replaced by an empty one at a new address
    Then the new control node becomes a voter
    And the leader transfers leadership on SIGTERM and exits with code 0
    And invalid input is refused, and all processes keep serving
    And one of two concurrent changes is accepted and the other gets a conflict
    And zinctrailctl reports every error of an invalid file and applies nothing
    And a process with wrong flags or an unusable folder exits with code 2 and reports the reason
    And no request was executed twice, no response was wrong and no request reported as not run was executed

  Scenario: No outgoing connection is given a port of a fleet while its process is down
    When a fleet reserves 200 ports
    Then they are 200 different ports, none of them for outgoing connections
    And no other process can use one of them before it is released
