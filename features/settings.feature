Feature: Settings that change while a process runs

  Scenario: A proxy on the platform takes changed settings, with and without a signal, and lives
    Given a proxy of the platform with a settings file
    When the file names other seeds and the process gets SIGHUP
    Then it logs that seeds changed, and keeps running
    When the file is overwritten with half a document and the process gets SIGHUP
    Then it logs that it keeps its current settings, and keeps running
    When the file names a longer answer and the process gets no signal
    Then it logs that answer changed, and keeps running
    When the file names another lease and the process gets SIGHUP
    Then it logs that lease takes effect at the next start, and keeps running

  Scenario Outline: All of a settings file or nothing
    Given a machine with its settings
    When settings come with <change>
    Then it <does>
    Examples:
      | change                         | does                                   |
      | other seeds                    | contacts the new seeds                 |
      | an answer of 1000 ms           | takes the new answer, and keeps its seeds |
      | a repeat_share above its bound | keeps its settings                     |
