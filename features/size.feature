Feature: What many members cost the control plane

  Scenario: A publication to many members is written once
    Given 40 proxies that all have the same generation, and one that has none
    When the master publishes a change of the routes
    Then those at the same generation are sent one and the same frame
    And the wire writes it out once, and packs it

  Scenario Outline: A packed frame is read only when it is whole and within its bound
    Given the receiving end of a connection between two processes
    When a packed frame comes that is <state>
    Then it is <verdict>
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
