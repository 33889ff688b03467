Feature: What a proxy refuses, or does not act on
  Like refusals.feature, for requests that run at most once and for credit.

  Scenario Outline: Credit counts only of the ledger in office and for a request that was made: <case>
    Given a proxy with a lease, and a claimed request that waits for credit
    When credit arrives from the ledger with fence <fence> for <request>
    Then the waiting request is <sent>
    Examples:
      | case                  | fence | request                     | sent     |
      | as it should be       | 5     | the newest request          | sent     |
      | of the ledger before  | 4     | the newest request          | not sent |
      | for no request        | 5     | a request that was not made | not sent |

  Scenario: Credit whose time is over sends nothing
    Given a proxy with a lease, and a claimed request that waits for credit
    When credit arrives from the ledger with fence 5 for the newest request
    And 3100 ms pass, in which the ledger grants nothing
    And another request is claimed
    Then the second request is not sent

  Scenario: Credit outside the home regions of a request is not used for it
    Given a proxy with a lease, and a claimed request for home r0 that waits for credit
    When credit arrives for an endpoint of r1
    Then the waiting request is not sent

  Scenario Outline: The collection of a ledger before is not answered: fence <fence>
    Given a proxy with a lease, and a claimed request that waits for credit
    When a ledger with fence <fence> collects the credit that proxies hold
    Then the proxy reports <report>
    Examples:
      | fence | report        |
      | 4     | nothing       |
      | 5     | what it holds |
      | 6     | what it holds |

  Scenario Outline: A request whose claim another attempt has runs nowhere: <case>
    Given a proxy with a lease, and a request that waits for its claim
    When its claim belongs to <owner>, and is <state>
    Then its caller gets <status> "<outcome>", and nothing is sent
    Examples:
      | case                        | owner | state  | status | outcome |
      | its proxy is gone           | x     | open   | 504    | unknown |
      | it was closed               | p     | closed | 503    | not-run |

  Scenario: The result of another request is not given to this one
    Given a proxy with a lease, and a request that waits for its claim
    When its claim belongs to p, and is open
    And p responds with the result of another request
    Then its caller gets no response yet
    When p responds that it has no result
    Then its caller gets 504 "unknown", and nothing is sent

  Scenario: A result that names no request is given to none
    Given a proxy with a lease, and a request that waits for its claim
    When its claim belongs to p, and is open
    And p responds with a result without a request's id
    Then its caller gets 504 "unknown", and nothing is sent

  Scenario: A claim of an epoch that is no longer kept is not asked for
    Given a proxy with a lease
    When a request with id 5.x arrives
    Then its caller gets 409 "unknown", and nothing is sent
    And no claim is requested

  Scenario: A result that comes after its caller was answered answers nobody again
    Given a proxy with a lease, and a request that waits for its claim
    When its claim belongs to p, and is open
    And 2500 ms pass under the lease
    Then its caller gets 504 "unknown", and nothing is sent
    When p responds with the result of this request
    Then its caller got one response

  Scenario: A proxy whose lease is over refuses a request at once
    Given a proxy with a lease
    When 2500 ms pass without a lease
    And a request with id 20.x arrives
    Then its caller gets 503 "not-run", and nothing is sent
    And no claim is requested

  Scenario: A proxy whose lease is over asks for no credit
    Given a proxy with a lease
    When 1000 ms pass under the lease
    Then credit was requested
    When 2500 ms pass without a lease
    And 1000 ms pass without a lease
    Then no credit was requested

  Scenario: Stored results keep within a twentieth of the memory of the machine
    Given a proxy with a lease, on a machine of 128 MB
    When 100 requests that run at most once end with a result of 500000 bytes
    Then the stored results have 6400000 bytes at most, and the newest is among them
