Feature: The credit ledger never gives out more than an endpoint bears

  Scenario Outline: Demand is shared, and the sum holds
    Given a pool of endpoints <ends>
    When proxies request <needs>
    Then they are granted <grants> in all
    And no endpoint is granted more than its capacity
    Examples:
      | ends          | needs    | grants |
      | 8,8           | 4        | 4      |
      | 8,8           | 30       | 16     |
      | 8,8           | 6,6      | 6,6    |
      | 4             | 4,4,4    | 4,0,0  |
      | 8 cold 4      | 30       | 4      |
      | 8 cold 8      | 30       | 1      |
      | 8 draining,8  | 30       | 8      |
      | 8 evacuated,8 | 30       | 8      |

  Scenario: Who came first gives back when another asks
    Given a pool of endpoints 8
    When proxies request 8,8
    And they request 8,8 three more times
    Then they are granted 4,4 in all
    And no endpoint is granted more than its capacity

  Scenario: What a proxy may still hold counts until it shows that it took less
    Given a pool of endpoints 8
    When proxies request 8,1
    And the first requests 1 and its grant is lost
    Then the second, requesting 8, gets no more than 1
    When the first requests 1 and applies its grant
    And the first requests 1 and applies its grant
    Then the second, requesting 8, gets no more than 7

  Scenario Outline: A new keeper waits for what is out
    Given a pool of endpoints 8 whose ledger has a new owner that knows proxies p0,p1
    When <event>
    Then it <grants>
    Examples:
      | event                                  | grants              |
      | no proxy reports                       | grants nothing      |
      | p0 reports that it holds 6             | grants nothing      |
      | p0 and p1 report that they hold 6, 0   | grants p1 at most 2 |
      | the former owner hands over its ledger | grants p1 at most 2 |
      | a credit lease expires                 | grants p1 at most 8 |

  Scenario: A killed keeper is replaced, under a higher fence, while traffic goes on
    Given a small world with traffic
    When the owner of a pool's ledger is killed
    Then another node owns it under a higher fence, and no more than 2 percent of requests fail

  Scenario: A leaving keeper names its successor and hands over its ledger
    Given a small world with traffic
    When the owner of a pool's ledger shuts down
    Then its named successor owns it, ready at once, and no request fails

  Scenario: What an idle proxy holds to spare goes to one that has work
    Given a pool of endpoints 1
    When an idle proxy asks for credit first, and one with 3 waiting requests asks after it
    Then once the idle one has asked again, the other is granted 1

  Scenario: Endpoints that come and go leave nothing behind in a proxy
    Given a small world with traffic
    When every endpoint is replaced 6 times over
    Then no proxy keeps a row of an endpoint that was removed
