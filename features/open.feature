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

  Scenario Outline: The operator's limits at the front
    Given a front with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 2500
    When a client sends <what>
    Then it is answered <answer>, and another client is served meanwhile
    Examples:
      | what                                      | answer |
      | a header line of 1500 bytes               | 431    |
      | many header lines of 1500 bytes together  | 431    |
      | a header of 900 bytes                     | 200    |
      | a body told as 2001 bytes                 | 413    |
      | a body in chunks of 2500 bytes together   | 413    |
      | a body of 2000 bytes in chunks            | 200    |
      | a form of 2000 bytes that nobody can read | 200    |
      | a line that is no header                  | 400    |
      | half a header, and then nothing           | 408    |
      | half a body, and then nothing             | 408    |
      | nothing at all                            | close  |

  Scenario: How long a connection may rest is told, kept to, and may change
    Given a front with header_bytes 1000, body_bytes 2000, header_ms 300, idle_ms 9000
    When a client's request is answered
    Then its answer says timeout=8
    When the limits come with idle_ms 100
    Then the resting connection is closed in order

  Scenario: A proxy hands on the operator's limits when they change
    Given a proxy for open traffic with 1 endpoints
    When the limits item sets idle_ms to 700
    Then the front is told idle_ms 700 once

  Scenario: More bodies than memory has room for are refused as not run
    Given a front with header_bytes 1000, body_bytes 99000000, header_ms 300, idle_ms 2500
    When a client sends a body told as 90000000 bytes
    Then it is answered 503, and another client is served meanwhile
