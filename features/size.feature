Feature: What many members cost the control plane

  Scenario: A publication to many members is written once
    Given 40 proxies that all have the same generation, and one that has none
    When the master publishes a change of the routes
    Then those at the same generation are sent one and the same frame
    And the wire writes it out once, and packs it

  Scenario Outline: A packed frame is read only when it is whole and within its bound
    Given the receiving end of a connection between two processes
    When a packed frame comes that is <state>
    Then the frame is <verdict>
    Examples:
      | state                               | verdict                   |
      | whole                               | read                      |
      | cut short                           | not read, and the connection is closed |
      | followed by more                    | not read, and the connection is closed |
      | flipped in a byte                   | not read, and the connection is closed |
      | above the bound once it is unpacked | not read, and the connection is closed |

  Scenario: A member of the wire level before is sent nothing packed
    Given 40 proxies that all have the same generation, and one that has none
    And the proxies speak the wire level before
    When the master publishes a change of the routes
    Then none of the frames for them may be packed

  Scenario Outline: Members that only follow are checked more slowly the more there are
    Given a master with <n> proxies that follow it
    When 12 s go by
    Then each proxy is checked about every <ms> ms
    And none of them is without a lease for a moment
    And grants of their own are <grants>
    Examples:
      | n  | ms  | grants         |
      | 8  | 400 | sent           |
      | 60 | 800 | no longer sent |
      | 90 | 800 | no longer sent |

  Scenario: A proxy among many that falls silent is missed, and the lease it had ends in time
    Given a master with 60 proxies that follow it
    When proxy 7 is silent from now on
    Then within 3200 ms it is no member any more
    And no lease that proxy 7 was given outlasts its last answer by more than 2400 ms

  Scenario: A proxy among many that answers, but has not applied a change, stops a lease after it
    Given a master with 60 proxies that follow it
    When the routes change and proxy 7 never says that it applied them
    Then no grant to proxy 7 rests on an answer from after the change

  Scenario: A master that was started again counts its rounds anew, and old answers grant nothing
    Given a proxy that follows b
    When it answers check 7, and b leads again in the next term and grants check 7 without having asked
    Then it has no lease from that

  Scenario Outline: Days of members checked at the slower pace break no promise
    When a day of <faults> with the shape of many runs under seed <seed>
    Then nothing that must never happen happened in it
    Examples:
      | seed | faults                                                    |
      | 31   | freeze_master,isolate_master_alive,stale_evacuate         |
      | 32   | split_with_master+evacuate,isolate_proxy+end_drains       |
      | 33   | kill_all,graceful_proxy+stale_drain                       |
