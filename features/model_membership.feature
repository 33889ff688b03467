Feature: Changes of members and operators' items explored in every order
  The real machines, breadth first, within the limits of each scope (docs/notes/model.md).

  Scenario Outline: Nothing is found in the membership scope <scope>
    When the model explores the scope "<scope>"
    Then no invariant breaks in the model
    And the model saw at least <states> distinct states and "<reached>" in some

    Examples:
      | scope          | states | reached               |
      | wipe-and-loss  | 4000   | acknowledged          |
      | leave-and-loss | 5000   | leaders of two terms  |
      | voting-set     | 12000  | two leaders at once   |
      | voting-set-cut | 12000  | leaders of two terms  |
      | one-number     | 5000   | acknowledged          |
      | absent-voters  | 3000   | leader                |
