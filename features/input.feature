Feature: Bad input is told and changes nothing
  One scenario for each boundary: frames between processes, the HTTP API, requests at a proxy.

  Scenario: Frames between our processes
    Given a small world with traffic whose frames are recorded
    When each kind of frame is sent again with each field missing, of a wrong type, over-long or deeply nested
    Then malformed frames are counted and change nothing, and well-formed ones break no process
    And at least 25 kinds of frames were tried

  Scenario: Pages of control nodes and directories
    Given a small world with traffic
    When every page is called with garbage, over-long, deeply nested and wrong-typed bodies
    Then each call gets an error response, and the replicated state is unchanged

  Scenario Outline: Headers of a request at a proxy
    Given a small world with traffic
    When a request comes with <header> "<value>"
    Then it gets outcome not-run with status <status>
    Examples:
      | header     | value                | status |
      | zt-id      |                      | 400    |
      | zt-id      | 1                    | 400    |
      | zt-id      | 1.                   | 400    |
      | zt-id      | x.y                  | 400    |
      | zt-id      | 1.a/b                | 400    |
      | zt-id      | 99999.a              | 400    |
      | zt-attempt | 0                    | 400    |
      | zt-attempt | -1                   | 400    |
      | zt-attempt | ²                    | 400    |
      | zt-attempt | 99999999999999999999 | 400    |
      | zt-left-ms | 1e3                  | 400    |
      | zt-left-ms | ³                    | 400    |
      | zt-left-ms | 0                    | 504    |
      | zt-labels  | a                    | 400    |
      | zt-labels  | =b                   | 400    |
      | zt-home    | nowhere              | 403    |
