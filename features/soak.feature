Feature: Real processes under series of disturbances that overlap, with clients that keep their connections
  Short soaks; features/soak.py runs longer ones by hand. Clients use a connection until it ends, whatever directories
  say meanwhile; signals, restarts, configuration changes and replaced endpoints overlap.

  Scenario Outline: Soak <seed>
    When a soak of <cores> control nodes and <edges> proxies runs for <seconds> s under seed <seed>
    Then it has no findings, and enough attempts and signals
    Examples:
      | seed | cores | edges | seconds |
      | 1    | 3     | 3     | 14      |
      | 2    | 3     | 4     | 14      |

  Scenario Outline: The verdict <verdict> speaks where it should
    Given the records of a soak in which <what>
    Then its findings are <verdict>
    Examples:
      | what                                                                     | verdict  |
      | all is well                                                              | none     |
      | a successful response has no seal                                        | mixed    |
      | a non-idempotent request was executed twice                              | twice    |
      | a non-idempotent request was refused and executed                        | refused  |
      | a request was executed that no client sent                               | unasked  |
      | a request was forwarded and its connection ended                         | lost     |
      | a request was forwarded and its connection ended, as its process was killed | none  |
      | a request was forwarded and its connection ended, as its endpoint crashed | none    |
      | a request crossed the close of its connection                            | none     |
      | a request was read for a second and its connection ended                 | lost     |
      | four requests ran on for a second after their clients had disconnected   | gone     |
      | three requests ran on for a second after their clients had disconnected  | none     |
      | four requests were cancelled as their clients disconnected               | none     |
      | a lookup named a foreign region beside a home                            | led_away |
      | a lookup named a foreign region alone                                    | none     |
      | a process exited by itself                                               | ended    |
      | a process exited with 1 after SIGTERM                                    | ended    |
      | a process exited with 0 after SIGTERM                                    | none     |
      | a process was killed                                                     | none     |
      | a proxy did not exit within its grace period                             | fault    |

  Scenario Outline: A process that is not gone yet after <signals> counts as ended by <which>
    Given a process of a soak that takes a while to exit
    When the process gets <signals>
    Then it counts as stopped by <which> from its <time> signal on
    Examples:
      | signals                 | which   | time   |
      | SIGTERM                 | SIGTERM | first  |
      | SIGTERM SIGHUP SIGTERM  | SIGTERM | first  |
      | SIGTERM SIGKILL         | SIGKILL | second |
      | SIGTERM SIGKILL SIGTERM | SIGKILL | second |
      | SIGKILL SIGTERM         | SIGKILL | first  |
