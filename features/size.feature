Feature: What many members cost the control plane

  Scenario: A publication to many members is written once
    Given 40 proxies that all have the same version, and one that has none
    When the leader publishes a change of the routes
    Then those at the same version are sent one and the same frame
    And the connections encode it once, and compress it

  Scenario Outline: A packed frame is read only when it is whole and within its bound
    Given the receiving end of a connection between two processes
    When a compressed frame arrives that is <state>
    Then the frame is <verdict>
    Examples:
      | state                                   | verdict                                |
      | complete                                | read                                   |
      | cut short                               | not read, and the connection is closed |
      | followed by more bytes                  | not read, and the connection is closed |
      | altered in a byte                       | not read, and the connection is closed |
      | above the limit once it is decompressed | not read, and the connection is closed |

  Scenario: A member of the wire level before is sent nothing packed
    Given 40 proxies that all have the same version, and one that has none
    And the proxies use the previous wire level
    When the leader publishes a change of the routes
    Then none of the frames for them may be compressed

  Scenario Outline: Members that only follow are checked more slowly the more there are
    Given a leader with <n> proxies that follow it
    When 12 s go by
    Then each proxy is sent a heartbeat about every <ms> ms
    And none of them is ever without a lease
    And separate lease grants are <grants>
    Examples:
      | n  | ms  | grants         |
      | 8  | 400 | sent           |
      | 60 | 800 | no longer sent |
      | 90 | 800 | no longer sent |

  Scenario: A proxy among many that falls silent is missed, and the lease it had ends in time
    Given a leader with 60 proxies that follow it
    When proxy 7 stops responding
    Then within 3200 ms it is removed from the members
    And no lease granted to proxy 7 outlasts its last response by more than 2400 ms

  Scenario: A proxy among many that answers, but has not applied a change, stops a lease after it
    Given a leader with 60 proxies that follow it
    When the routes change and proxy 7 never reports that it applied them
    Then no grant to proxy 7 is based on a response from after the change

  Scenario: A master that was started again counts its rounds anew, and old answers grant nothing
    Given a proxy that follows b
    When it responds to heartbeat 7, and b leads again in the next term and grants a lease for heartbeat 7 without having sent it
    Then it is granted no lease

  Scenario Outline: Days of members checked at the slower pace break no promise
    When a scenario of <faults> with the shape of many runs under seed <seed>
    Then no checker found a violation in it
    Examples:
      | seed | faults                                              |
      | 31   | freeze_master,isolate_master_alive,stale_evacuate   |
      | 32   | split_with_master+evacuate,isolate_proxy+end_drains |
      | 33   | kill_all,graceful_proxy+stale_drain                 |
