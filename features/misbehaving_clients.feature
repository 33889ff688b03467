Feature: Clients that misbehave end no process, and don't keep ordinary callers from their answers
  Real processes, with the limits of a small machine: 128 MB and 600 descriptors, of which 200 are for files, unless a
  scenario says otherwise. What must hold doesn't depend on the speed of the machine: the process runs on, its memory
  with its temporary files and its descriptors stay within these limits, and an ordinary request is answered while the
  misbehaving clients are still there. Each scenario has one cause, one listener and a process of its own; features/run.py
  runs this feature apart from all others. docs/operate/limits.md lists what each listener may hold.

  Scenario Outline: <crowd>, at <listener>
    Given a process with the listener <listener>
    When a crowd comes with <crowd>
    Then an ordinary request is answered, and the process has kept within its limits
    Examples:
      | listener                  | crowd                           |
      | open traffic of a proxy   | connections that stay           |
      | readiness of a proxy      | connections that stay           |
      | metrics of a proxy        | connections that stay           |
      | control plane             | connections that stay           |
      | directory service         | connections that stay           |
      | metrics of a control node | connections that stay           |
      | directory daemon          | connections that stay           |
      | open traffic of a proxy   | unfinished headers              |
      | control plane             | unfinished headers              |
      | open traffic of a proxy   | unfinished bodies               |
      | readiness of a proxy      | unfinished bodies               |
      | metrics of a proxy        | unfinished bodies               |
      | control plane             | unfinished bodies               |
      | directory service         | unfinished bodies               |
      | metrics of a control node | unfinished bodies               |
      | directory daemon          | unfinished bodies               |
      | open traffic of a proxy   | requests in a row               |
      | metrics of a proxy        | requests in a row               |
      | control plane             | requests in a row               |
      | directory service         | requests in a row               |
      | metrics of a control node | requests in a row               |
      | directory daemon          | requests in a row               |
      | open traffic of a proxy   | unread answers                  |
      | open traffic of a proxy   | unread answers without a length |
      | open traffic of a proxy   | bodies that wait at an endpoint |
      | open traffic of a proxy   | bodies of clients that left     |
      | open traffic of a proxy   | long names of headers           |
      | open traffic of a proxy   | an answer with endless headers  |
      | control plane             | health answers without end      |

  Scenario: Requests that wait at an endpoint, at open traffic of a proxy
    Given a process with the listener open traffic of a proxy
    When a crowd comes with requests that wait at an endpoint
    Then an ordinary request is answered before any of the crowd, and the process has kept within its limits

  Scenario: Requests for short answers in a row, at open traffic of a proxy
    Given a process with the listener open traffic of a proxy
    When a crowd comes with requests for short answers in a row
    Then an ordinary request is answered, and the process has kept within its limits

  Scenario: Headers of many lines, at the control plane
    Given a process with 2000 descriptors and the listener control plane
    When a crowd comes with headers of many lines
    Then an ordinary request is answered, and the process has kept within its limits

  Scenario: Watches that stay at the control plane leave room for other calls
    Given a process with the listener control plane and 2000 descriptors, and a watch that stays
    When a crowd comes with watches
    Then an ordinary request is answered while the first one waits, and the process has kept within its limits

  Scenario: Watches that clients abandoned at the control plane leave room for other watches
    Given a process with the listener control plane and 2000 descriptors, and a watch that stays
    When a crowd comes with abandoned watches
    Then a watch is let in while the first one still waits, and the process has kept within its limits

  Scenario: The largest answer, alone, is served whole within 160 MB
    Given a process with the listener open traffic of a proxy and 160 MB
    When a client asks for an answer of 64 MiB
    Then it gets the whole answer, and the process has kept within its limits

  Scenario: The largest request, alone, is served whole within 160 MB
    Given a process with the listener open traffic of a proxy and 160 MB
    When a client sends a request of 64 MiB
    Then the endpoint gets the whole request, and the process has kept within its limits

  Scenario: The largest request with the largest answer, alone, is served whole within the 200 MB of a small machine
    Given a process with the listener open traffic of a proxy and 200 MB
    When a client sends a request of 64 MiB and asks for an answer of 64 MiB
    Then it gets the whole answer, and the process has kept within its limits
