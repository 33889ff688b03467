Feature: Bad input is told and changes nothing
  One table a boundary: the inner wire, the pages, requests at a proxy.

  Scenario: Frames between our processes
    Given a small world with traffic whose frames are noted
    When each kind of frame is sent again with each field missing, of a wrong type, over-long or deeply nested
    Then what is wrong is counted and changes nothing, and what will do breaks nobody
    And at least 25 kinds of frames were tried

  Scenario: Pages of control nodes and directories
    Given a small world with traffic
    When every page is called with garbage, over-long, deeply nested and wrong-typed bodies
    Then each call is answered with a fault, and the kept state is as before

  Scenario Outline: Headers of a request at a proxy
    Given a small world with traffic
    When a request comes with <header> "<value>"
    Then it is told not-run with status <status>
    Examples:
      | header     | value                 | status |
      | zt-id      |                       | 400    |
      | zt-id      | 1                     | 400    |
      | zt-id      | 1.                    | 400    |
      | zt-id      | x.y                   | 400    |
      | zt-id      | 1.a/b                 | 400    |
      | zt-id      | 99999.a               | 400    |
      | zt-attempt | 0                     | 400    |
      | zt-attempt | -1                    | 400    |
      | zt-attempt | ²                     | 400    |
      | zt-attempt | 99999999999999999999  | 400    |
      | zt-left-ms | 1e3                   | 400    |
      | zt-left-ms | ³                     | 400    |
      | zt-left-ms | 0                     | 504    |
      | zt-labels  | a                     | 400    |
      | zt-labels  | =b                    | 400    |
      | zt-home    | nowhere               | 403    |
