Feature: Leaving and coming back without being missed

  Scenario: A leaving proxy is not ready first, finishes its work, and no request fails
    Given a small world with traffic
    When a proxy is told to stop
    Then it reports that it is not ready at once, exits by itself, and no request fails

  Scenario: A leaving master hands over within a tenth of a lease
    Given a small world with traffic
    When the leader is told to stop
    Then its named successor leads within 240 ms, and no request fails

  Scenario: Machines restarted in turn
    Given a small world with traffic
    When every process is told to stop and started again, one after another
    Then no more than 2 percent of requests fail

  Scenario: A node that was cut off gets what it missed as a diff
    Given a small world with traffic
    When a proxy is cut off for 5 s while the configuration changes
    Then it is up to date again without the full state being sent

  Scenario: A voter that restarts gets what it missed as a diff
    Given a small world with traffic
    When a follower core restarts after 3 s
    Then it is up to date again without the full state being sent

  Scenario: The same id never acts twice, and a conflict is told
    Given a small world with traffic
    When a number, a key and a lock are requested twice with one id each, through different directories
    Then each request was applied once

  Scenario: No machine reads a clock
    Then no module of consensus, control, directory or proxy imports time or reads the current time

  Scenario Outline: Neighbours one wire level apart work together, two apart do not
    Given a small world whose proxies speak level <proxies> and others <others>
    Then requests <verdict>
    Examples:
      | proxies | others | verdict    |
      | 1       | 2      | are served |
      | 2       | 1      | are served |
      | 1       | 3      | find no proxy |

  Scenario: A rolling upgrade from one level to the next under traffic
    Given a small world with traffic
    When every process is told to stop and started again at the next wire level, one after another
    Then no more than 2 percent of requests fail

  Scenario: The data folder writes old files over, and forgets what was left aside
    Given a data folder with a snapshot that made two versions obsolete
    When two more versions are written and one is left unfinished
    Then the old files are removed, the new ones are complete, and no unfinished file is left
    And a second process cannot use the folder
