Feature: The platform's names stay in platform/, and what it is told of us holds

  Scenario: Nothing outside platform/ knows the platform's names
    Then no source of the package holds a header, field, path or word of the platform
    And a planted name of each kind is found

  Scenario: The folder's name hides nothing
    Then a program started from platform/ still imports the standard library's platform
    And no module of platform/ has the name of a standard one

  Scenario: The deploy file agrees with the package
    Then the build installs what pyproject.toml asks for, pinned as constraints.txt has it
    And the system packages that the build needs are listed
    And each role runs a program that exists, with a template that renders its settings
    And the directory is served, and no two roles of a machine class serve the same function
    And no source contains a word that the deploy page forbids
