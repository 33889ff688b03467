Feature: What a leader does not publish, count as accepted, or leave out of the voting set
  As refusals.feature, for a leader and its voters.

  Scenario: A voter that accepted one publication does not commit the one after it
    Given a control node that leads
    When its voters stop responding, and two changes are published
    And b accepts the first of them
    Then the first is committed, and the second is not

  Scenario: Nothing is published beside the first version of a term
    Given a control node that was just elected, whose voters are silent
    When 3 changes are requested, 20 ms apart
    Then b is sent 1 publication

  Scenario: At most 16 publications are on their way
    Given a control node that leads
    When its voters stop responding
    And 30 changes are requested, 10 ms apart
    Then b is sent 16 publications

  Scenario: Nothing is published once a heartbeat round is overdue
    Given a control node that leads
    When its voters stop responding
    And 1000 ms go by
    And 1 change is requested, 10 ms apart
    Then b is sent 0 publications

  Scenario: A leader of three does not shrink its voting set by itself
    Given a control node that leads
    When c leaves at once, and 15000 ms pass
    Then the voting set is a,b,c

  Scenario: What changes nothing, but saw a change that is not in force yet, is answered with that change
    Given a control node that leads
    When its voters stop responding
    And a key is put, and put again under the same id, while b responds only to heartbeats
    Then neither request gets a response
    When its voters respond again, and 1000 ms pass
    Then both requests get a response with status 200

  Scenario: The voting set changes only behind what the set before has committed, and a voter is let go only then
    Given a control node that leads, with d as a spare control node
    When its voters stop responding, and a change is published
    And c asks to be released
    Then no change of the voting set is published, and c is not released
    When b accepts what was published
    Then a change of the voting set is published
    When c asks to be released
    Then c is not released
    When its voters and d respond again, and 1000 ms pass
    Then the voting set is a,b,d
    And c is released
