Feature: A body is kept for as long as an attempt has to send it, and an attempt without its body is never sent
  Guards against review/6: the body of a hedged request was dropped, for want of room for an answer, while the hedge
  waited for its connection; the second endpoint ran the request with no body.

  Scenario Outline: An answer finds no room while another attempt <state>
    Given two endpoints, and a client with room for little more than one body
    And an attempt at the first endpoint, which has begun to answer with more than there is room for
    When another attempt at the second endpoint <state>
    Then the body is still held
    And the second endpoint gets the whole body, once it can be sent
    And the first answer is read once the second attempt has ended
    And nothing is held any more
    Examples:
      | state                        |
      | waits for its connection     |
      | is being written             |

  Scenario: An attempt that begins after the body was dropped is not sent
    Given two endpoints, and a client with room for little more than one body
    And an attempt at the first endpoint, which has begun to answer with more than there is room for
    When the body is dropped for the answer, and another attempt begins
    Then it ends at once with an unknown outcome, and the second endpoint gets nothing

  Scenario Outline: An attempt that <end> needs the body no more
    Given two endpoints, and a client with room for little more than one body
    And an attempt at the first endpoint, which has begun to answer with more than there is room for
    When another attempt at the second endpoint <end>
    Then the body is dropped for the first answer, which is read
    And nothing is held any more
    Examples:
      | end                                |
      | is cancelled before it connects    |
      | is cancelled while it is written   |
      | can not connect                    |
