Feature: Real processes under series of disturbances that overlap, with clients that keep their connections
  features/soak.py plays more of these by hand. Clients use a connection until it ends, whatever directories say; signals,
  restarts, changes and endpoints that come and go overlap.

  Scenario Outline: Soak <seed>
    When a soak of <cores> control nodes and <edges> proxies is played for <seconds> s under seed <seed>
    Then it finds nothing, and saw enough
    Examples:
      | seed | cores | edges | seconds |
      | 1    | 3     | 3     | 14      |
      | 2    | 3     | 4     | 14      |

  Scenario Outline: The verdict <verdict> speaks where it should
    Given the notes of a soak in which <what>
    Then its verdicts are <verdict>
    Examples:
      | what                                                                     | verdict  |
      | all is well                                                              | none     |
      | a success bears no seal                                                  | mixed    |
      | what may run once ran twice                                              | twice    |
      | what may run once was refused and ran                                    | refused  |
      | something ran that nobody sent                                           | unasked  |
      | a request was passed on and its connection ended                         | lost     |
      | a request was passed on and its connection ended, as its process was killed | none  |
      | a request was passed on and its connection ended, as its endpoint crashed | none    |
      | a request crossed the close of its connection                            | none     |
      | a request was read for a second and its connection ended                 | lost     |
      | four requests were worked on for a second after their clients had left   | gone     |
      | three requests were worked on for a second after their clients had left  | none     |
      | four requests were dropped as their clients left                         | none     |
      | a lookup named a foreign region beside a home                            | led_away |
      | a lookup named a foreign region alone                                    | none     |
      | a process ended by itself                                                | ended    |
      | a process ended with 1 after SIGTERM                                     | ended    |
      | a process ended with 0 after SIGTERM                                     | none     |
      | a process was killed                                                     | none     |
      | a proxy did not end within its grace                                     | fault    |

  Scenario Outline: A process that is not gone yet after <signals> counts as ended by <which>
    Given a process of a soak that takes a while to go
    When it gets <signals>
    Then it counts as ended by <which> from its <time> signal on
    Examples:
      | signals                 | which   | time   |
      | SIGTERM                 | SIGTERM | first  |
      | SIGTERM SIGHUP SIGTERM  | SIGTERM | first  |
      | SIGTERM SIGKILL         | SIGKILL | second |
      | SIGTERM SIGKILL SIGTERM | SIGKILL | second |
      | SIGKILL SIGTERM         | SIGKILL | first  |
