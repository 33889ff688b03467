Feature: Settings that change while a process runs

  Scenario: A proxy on the platform takes changed settings, with and without a signal, and lives
    Given a proxy of the platform with a settings file
    When the file names other seeds and the process gets SIGHUP
    Then it tells that seeds changed, and runs on
    When the file is written over with half a document and the process gets SIGHUP
    Then it tells that it goes on with those it has, and runs on
    When the file names a longer answer and nobody tells the process
    Then it tells that answer changed, and runs on
    When the file names another lease and the process gets SIGHUP
    Then it tells that the next start takes lease, and runs on

  Scenario Outline: All of a settings file or nothing
    Given a machine with its settings
    When settings come with <change>
    Then it <does>
    Examples:
      | change                         | does                                   |
      | other seeds                    | asks the new seeds                     |
      | an answer of 1000 ms           | answers for 1000 ms, and seeds stay    |
      | a share of repeats above bound | goes on as before                      |
