Feature: The consensus explored in every order
  The real machines, breadth first, within the limits of each scope (docs/notes/model.md).

  Scenario Outline: Nothing is found in the scope <scope>
    When the model explores the scope "<scope>"
    Then no invariant breaks in the model
    And the model saw at least <states> distinct states and "<reached>" in some

    Examples:
      | scope          | states | reached               |
      | elections      | 5000   | leader                |
      | orders         | 5000   | acknowledged          |
      | new-leader     | 7000   | leaders of two terms  |
      | succession     | 9000   | refused               |
      | late-copies    | 2000   | acknowledged          |
      | stale-state    | 18000  | acknowledged          |
      | reads          | 6000   | two leaders at once   |

  Scenario Outline: States that differ in one field are two states: <kind>
    When two values differ in one field alone, of the kind "<kind>"
    Then the model has different digests of them

    Examples:
      | kind             |
      | named tuple      |
      | dataclass        |
      | partial function |
      | closure          |
