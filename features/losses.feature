Feature: What each deployment must survive, at its size: a disk machine, a zone, a region, for good
  At a reduced request rate, in virtual time.

  Scenario Outline: <shape>: <fault>
    Given <shape> at <rate> a second, a day of <fault>, seed <seed>
    Then nothing that must never happen happened
    And the fault found its mark
    Examples:
      | shape | fault             | rate | seed |
      | accra | machine_for_good  | 60   | 3    |
      | accra | cell_for_good     | 60   | 3    |
      | accra | region_for_good   | 60   | 3    |
      | ukks  | machine_for_good  | 60   | 4    |
      | ukks  | cell_for_good     | 60   | 4    |
      | ukks  | region_for_good   | 60   | 4    |
      | accra | large_config      | 40   | 5    |
      | ukks  | large_config      | 40   | 5    |
