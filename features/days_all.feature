Feature: Days of everything that fails, alone and together
  Together the rows bring about every cause under the brief's "What fails".

  Scenario Outline: Seed <seed>: <faults>
    Given a day of <faults> under seed <seed>
    Then nothing that must never happen happened
    Examples: alone and together
      | seed | faults                                                 |
      | 11   | kill_one_each,kill_many+storm                          |
      | 12   | rolling_restart                                        |
      | 13   | replace_core,lose_disk                                 |
      | 14   | die_confirming,die_confirming+storm                    |
      | 15   | disk_full,disk_stalls                                  |
      | 16   | cell_lost,region_lost                                  |
      | 17   | split_core,one_way                                     |
      | 18   | isolate_one+end_vanishes,isolate_master                |
      | 19   | swap_seeds,stale_seeds                                 |
      | 20   | operators_collide+invalid_config,large_config          |
      | 21   | evacuate+kill_master,move_pool                         |
      | 22   | cold_return+end_drains,address_passed_on+end_leaves    |
      | 23   | freeze_proxy+freeze_master,damage_disk                 |
      | 24   | graceful_proxy+graceful_keeper                         |
      | 25   | split_core_from_rest,lossy+slow_ends                   |
      | 26   | garbled+outcome_lost,kill_all+storm                    |
