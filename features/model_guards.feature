Feature: Each guard of the consensus is missed once it is off
  What the explorer finds with a guard switched off, and that the finding plays again.

  Scenario Outline: With <guard> off, <invariant> breaks
    When the model looks for "<invariant>" with the guard "<guard>" off
    Then the model finds that "<invariant>" breaks within <steps> steps
    And the model's trace, written as JSON and read again, breaks the same
    And the model's trace breaks nothing with the guard on

    Examples:
      | guard                                | invariant           | steps |
      | vote on disk                         | one_vote_a_term     | 4     |
      | one vote a term                      | one_vote_a_term     | 3     |
      | majority                             | election_safety     | 2     |
      | votes from those behind only         | leader_completeness | 7     |
      | a version fits its base           | log_matching        | 5     |
      | a version is newer                | durability          | 9     |
      | answers count for their own term     | durability          | 3     |
      | a majority of the old voting set     | leader_completeness | 6     |
      | what a lost leader published is unknown | refused_is_not_done | 8 |
      | an item version holds one content          | one_content_a_version | 6 |
      | reads wait for a quorum              | fresh_reads         | 8     |
      | a voting set keeps its size          | large_voting_sets   | 5     |

  Scenario Outline: Names that do not fit the product are refused: <mistake>
    When <mistake>
    Then the model refuses it, and names "<attribute>"

    Examples:
      | mistake                                                                          | attribute         |
      | a guard of the model replaces an attribute that the product does not have        | no_such_attribute |
      | the digests of the model leave out an attribute that the product does not have   | no_such_attribute |
      | a guard of the model replaces a function by one with other parameters            | raise_term        |

  Scenario: A refusal of an older publication reaches a node that leads a newer term
    Given a leader of the model's "succession"
    When it gets a refusal that names its own term and nothing accepted
    Then it leads on, and believes no less of the member that refused
