Feature: Open traffic through one proxy: leaving, limits, endpoints that misbehave, repeats

  Scenario: A leaving proxy serves on with each connection's last answer, then refuses, and loses nothing
    Given a proxy for open traffic with 2 endpoints
    When it is told to stop
    Then it is not ready, and tells its connections to go elsewhere
    When a request comes 2 s later
    Then it is sent to an endpoint
    When 1 s more go by
    Then it takes no more connections
    When a request comes 0 s later
    Then it is refused as not run, with a time to come back
    And it ends only once the first request is answered, within its grace

  Scenario: The front of a leaving proxy, over real connections
    Given a front whose machine answers when told to
    When two clients connect, one of them sends a request, and the front leaves
    And the request is answered
    Then its answer is whole, and its connection's last
    When the front is shut
    Then the other client's connection is closed, and no new one is accepted
    And a request half read at that time is still answered
