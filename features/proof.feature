Feature: docs/proof.md names what there is

  Scenario: Everything named exists, and everything there is is named
    Then every checker, fault, guard, feature and name of code in docs/proof.md exists
    And every checker, fault and guard is named in docs/proof.md

  Scenario: No product process starts a process or uses what is ruled out
    Then only the test tools of the package import subprocess, and nothing imports mmap or multiprocessing.shared_memory
