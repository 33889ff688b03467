Feature: What an operator sees: log lines, measures, and what follows them through many processes

  Scenario Outline: A line is read back as it was written
    When a log line with <what> is written in the <form> format
    Then the text and fields of the line are read back
    Examples:
      | what                  | form |
      | plain fields          | text |
      | plain fields          | json |
      | a text with blanks    | text |
      | a text with blanks    | json |
      | quotes and equals     | text |
      | quotes and equals     | json |
      | lists and truths      | text |
      | lists and truths      | json |
      | a bar in the sentence | json |

  Scenario Outline: What is no line of ours is passed over
    When <line> is parsed as a log line
    Then no record is returned
    Examples:
      | line                                   |
      | nothing                                |
      | a sentence of another program          |
      | JSON of another program                |
      | JSON cut short                         |
      | JSON nested very deeply                |
      | a field whose text is cut short        |

  Scenario: A request that went well is told of only where its id is picked
    Given a proxy that samples a share of 0 of all requests
    When a request is forwarded and gets a response after 40 ms
    Then no log line has the request
    Given a proxy that samples a share of 1 of all requests
    When a request is forwarded and gets a response after 40 ms
    Then one log line has the request: outcome ran, tries 1, 40 ms there, 0 ms here

  Scenario: Every process picks the same share of ids
    Then of 10000 ids two samplers with a share of 0.1 pick the same ones, between 800 and 1200

  Scenario: A request whose outcome is not known is told of, with who had it
    Given a proxy that samples a share of 0 of all requests
    When a request is forwarded and gets no response in time
    Then one log line has the request: outcome unknown, tries 1, 2000 ms there, 0 ms here

  Scenario: A storm of faults is counted, not written out
    Given a proxy that samples a share of 0 of all requests
    When 60 requests are forwarded and get no response in time
    Then 5 log lines have these requests, and 55 are counted as suppressed

  Scenario: Requests, tries, causes and times are counted
    Given a proxy that samples a share of 0 of all requests
    When a request is forwarded and gets a response after 40 ms
    And a request is forwarded and gets no response in time
    And a request arrives with no time remaining
    Then the metrics of the proxy are
      | name                                 | value |
      | requests_total outcome=ran           | 1     |
      | requests_total outcome=unknown       | 1     |
      | requests_total outcome=not-run       | 1     |
      | tries_total                          | 2     |
      | refusals_total cause=no time left    | 1     |
      | refusals_total cause=no reply in time | 1    |
      | here_seconds_count                   | 3     |
      | here_seconds_bucket le=0.001         | 3     |
      | there_seconds_count                  | 2     |
      | there_seconds_bucket le=0.02         | 0     |
      | there_seconds_bucket le=0.05         | 1     |
      | there_seconds_bucket le=2.0          | 2     |
      | there_seconds_sum                    | 2.04  |
      | endpoints cold=no service=s state=ready | 2  |

  Scenario: No cause that a caller can name fills the memory
    Given a proxy that samples a share of 0 of all requests
    When requests end for 1000 causes
    Then at most 65 causes are stored, and all 1000 are counted

  Scenario: Elections are followed through the lines of many processes
    Given a simulated world whose leader is killed, with the log lines of its nodes
    When its log lines are searched for elections
    Then each term shows the candidates with their reasons, the leader with its voters, and the followers
    And a term without an election shows nothing

  Scenario: A claim is told of at the master where its id is picked
    Given a simulated world that samples every request
    When a non-idempotent request is executed in it
    Then the trace of its id shows the claim at the leader, and its outcome at the proxy with the endpoint

  Scenario Outline: A real process tells lines of one form only, and its measures
    When a proxy runs with <flags>, its metrics are scraped, and it is stopped
    Then it exits with code 0, and each of its lines is a zinctrail log line in the <form> format
    And the routine messages of Twisted are not among them
    And the scrape has the metrics of its lease, memory and file descriptors
    Examples:
      | flags             | form |
      | no flags          | text |
      | --log_format=json | json |

  Scenario Outline: A wrong setting of the log ends the program with code 2
    When a proxy is started with <flag>
    Then it has exited with code 2 and named <name>
    Examples:
      | flag              | name        |
      | --log_format=xml  | log_format  |
      | --trace_share=2   | trace_share |
      | --trace_share=-1  | trace_share |
      | --trace_share=all | trace_share |

  Scenario: The library for measures is not loaded until somebody scrapes
    Then a proxy's program starts without loading it

  Scenario: Members that come back all at once are taken in once each
    Given a simulated world of 3 cores and 8 proxies
    When all proxies are killed and start again at nearly the same moment
    Then each is logged as a new member once, and no node is sent the full state twice

  Scenario: What a member that is behind has otherwise is named
    Then the differences between two states name the items with their versions, the settings and the zones

  Scenario: Control nodes that all start again at one moment agree on one of them at once
    Given 20 simulated worlds of 6 control nodes, 20 ms apart
    When all of them are killed and start again within 15 ms
    Then each world has a leader within 300 ms, and in 20 or more the first term decides
