Feature: An answer names proxies of other regions only as many as a region lacks, and only where requests may go
  A client spreads its requests evenly over all proxies that a lookup response names. There are three regions of three
  proxies each: r0a1, r0a2 in zone r0/a, r0b1 in r0/b, and so on. The home regions of the rules are, by host: r0 and
  r1 for h01; r1 for one rule of h1; r0 for one rule of h0.1 and r1 for another; r0 and r1 for one rule of h01.12, r1
  and r2 for another; none for any.

  Scenario Outline: A client in <zone> asks for <host> while <away> are away
    Given a directory with three regions of three proxies
    When proxies <away> leave, and clients in <zone> look up <host>
    Then each response names <near>, and <spares> of <regions>
    Examples: a region that has enough is left to itself
      | zone | host | away | near           | spares | regions |
      | r0/a | h01  | none | r0a1 r0a2      | 0      | none    |
      | r0/b | h01  | none | r0a1 r0a2 r0b1 | 0      | none    |
      | r0/a | any  | r0a1 | r0a2 r0b1      | 0      | none    |
      | r2/a | h01  | r2a1 | r2a2 r2b1      | 0      | none    |
      | r2/b | h1   | r2a1 | r2a2 r2b1      | 0      | none    |
    Examples: with one left, one of another region stands in, at home where there are homes
      | zone | host   | away       | near        | spares | regions  |
      | r0/a | any    | r0a1 r0a2  | r0b1        | 1      | r1 r2    |
      | r0/a | h01    | r0a1 r0a2  | r0b1        | 1      | r1       |
      | r1/b | h01    | r1a1 r1b1  | r1a2        | 1      | r0       |
      | r2/a | h01    | r2a1 r2a2  | r2b1        | 1      | r0 r1    |
      | r0/a | h1     | r0a1 r0a2  | r0b1        | 1      | r1       |
      | r1/a | h1     | r1a1 r1a2  | r1b1        | 0      | none     |
      | r1/a | H1:80  | r1a1 r1a2  | r1b1        | 0      | none     |
      | r1/a | other  | r1a1 r1a2  | r1b1        | 1      | r0 r2    |
    Examples: several rules of one host
      | zone | host   | away       | near        | spares | regions  |
      | r2/a | h0.1   | r2a1 r2a2  | r2b1        | 1      | r0 r1    |
      | r2/a | h01.12 | r2a1 r2a2  | r2b1        | 1      | r1       |
      | r0/a | h01.12 | r0a1 r0a2  | r0b1        | 1      | r1       |
      | r1/a | h01.12 | r1a1 r1a2  | r1b1        | 0      | none     |
    Examples: a region without any
      | zone | host   | away           | near    | spares | regions  |
      | r0/a | h01    | r0a1 r0a2 r0b1 | none    | 2      | r1       |
      | r2/a | h1     | r2a1 r2a2 r2b1 | none    | 2      | r1       |
      | r0/b | any    | r0a1 r0a2 r0b1 | none    | 2      | r1 r2    |
      | r9/x | h01    | none           | none    | 2      | r0 r1    |
    Examples: no home region has any: who is left sends on to endpoints at home
      | zone | host   | away                          | near | spares | regions |
      | r1/a | h1     | r1a1 r1a2 r1b1                | none | 2      | r0 r2   |
      | r0/a | h01    | r0a1 r0a2 r0b1 r1a1 r1a2 r1b1 | none | 2      | r2      |

  Scenario: A large region with few proxies left is helped up to half of the average of all regions
    Given a directory with three regions of 30 proxies
    When 25 of one region leave, and clients there look up any
    Then each response names the 5 that remain and 5 of other regions

  Scenario: Nobody is led away while all proxies of all regions join one after another
    Given a directory that knows no proxy yet
    When the proxies of three regions become known one after another, in 50 orders
    Then no response for h01 in r0 or r1 names r2 once any of r0 or r1 is known

  Scenario Outline: A client that links our library is named proxies of other regions for those that are lacking: <away> away
    Given a directory with three regions of three proxies
    When proxies <away> leave, and a client that uses the zinctrail library in r0/a requests <most> proxies
    Then each response names <near>, and <spares> of <regions>
    Examples:
      | away           | most | near           | spares | regions |
      | none           | 3    | r0a1 r0a2 r0b1 | 0      | none    |
      | none           | 8    | r0a1 r0a2 r0b1 | 0      | none    |
      | r0a1           | 3    | r0a2 r0b1      | 0      | none    |
      | r0a1 r0a2      | 3    | r0b1           | 1      | r1 r2   |
      | r0a1 r0a2 r0b1 | 3    | none           | 2      | r1 r2   |

  Scenario Outline: Bad input to a lookup is told: <body>
    Given a directory with three regions of three proxies
    Then a lookup with <body> is refused with 400
    Examples:
      | body                                     |
      | {"front": true, "host": 1}               |
      | {"front": true, "host": ["h"]}           |
      | {"front": true, "cell": 1, "host": "h"}  |
      | {"front": true, "hosts": "h"}            |
