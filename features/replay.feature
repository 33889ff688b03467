Feature: Replayed days

  Scenario Outline: A line that can not be used stops it before anything is sent
    Given a recorded day whose third line is <line>
    When the recorded day is read
    Then the error names line 3, and says <why>
    Examples:
      | line                                                        | why                |
      | {                                                           | Expecting          |
      | 7                                                           | must be an object  |
      | {"at_ms": 1, "do": "dance"}                                 | do must be one of  |
      | {"do": "request", "service": "loans"}                       | at_ms must be      |
      | {"at_ms": 1, "do": "request"}                               | service must be    |
      | {"at_ms": 1, "do": "request", "service": "x", "home": "r0"} | home must be       |
      | {"at_ms": 1, "do": "request", "service": "x", "left": 3}    | left is not a known |
      | {"at_ms": -1, "do": "request", "service": "x"}              | at_ms must be      |
      | {"at_ms": 0.5, "do": "request", "service": "x"}             | is before the line |
      | {"at_ms": 1, "do": "call", "op": "launch"}                  | op must be one of  |
      | {"at_ms": 1, "do": "operator", "verb": "evacuate"}          | takes 1 arguments  |
      | {"at_ms": 1, "do": "beat", "end": "x"}                      | end must be        |

  Scenario: Told to skip, it counts what it skipped
    Given a recorded day whose third line is {
    When the recorded day is read, skipping invalid lines
    Then 1 line was skipped and the other events are read

  Scenario: A day without its header is refused even when skipping
    Given a recorded day without its header
    Then reading it fails at line 1, even when skipping invalid lines

  Scenario: What is written is read back the same
    Given generated days of small, accra and ukks
    Then each is read back unchanged, and the same seed generates the same day

  Scenario: A generated day with a closing fault, inside the simulator
    When zinctrail-replay makes a day of small and replays it in the simulator
    Then it exits with code 0 and prints outcomes, waits and no verdicts

  Scenario: A malformed file
    When zinctrail-replay replays a malformed file
    Then it exits with code 2 and names the line
