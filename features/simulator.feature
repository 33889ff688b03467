Feature: The simulator injects every kind of fault, and its checkers are neither stricter nor laxer than the rules

  Scenario Outline: Kind <kind> can be injected: <faults>
    Then the simulator's fault registry has <faults>
    Examples: clients and endpoints
      | kind               | faults |
      | retry_abuse, burst | retry_abuse crowd |
      | give_up            | give_up |
      | srv_crash          | srv_crash srv_crash_dark srv_crash_gone srv_crash_all |
      | release            | release |
      | replace_with_reuse | replace_with_reuse replace_with_reuse_drain replace_with_reuse_dark |
      | scale_in           | scale_in scale_in_spot |
      | scale_out          | scale_out |
      | cold_return        | cold_return cold_return_dark |
      | answer_lost        | answer_lost answer_lost_often |
      | garble             | garble garble_extra |
      | srv_slow           | slow_ends |
      | srv_grey           | srv_grey_errors srv_grey_shed srv_grey_busy srv_grey_hang srv_grey_reset srv_grey_mute srv_grey_slow |
      | srv_lying_health   | srv_lying_health srv_lying_health_bad |
      | srv_flap           | srv_flap |
      | idle_race          | idle_race |
    Examples: machines, disks and links
      | kind               | faults |
      | node_kill          | node_kill node_kill_master node_kill_amid masters_in_turn |
      | node_freeze        | node_freeze freeze_master |
      | node_slow          | node_slow |
      | roll_term          | roll_term roll_term_fronts roll_term_region roll_term_remove roll_term_remove_core roll_term_busy |
      | herd_kill          | herd_kill herd_kill_core herd_kill_core_power herd_kill_taken herd_kill_fronts |
      | replace_core       | replace_core replace_core_planned |
      | after_ack_kill     | after_ack_kill after_ack_kill_alone after_ack_kill_timed after_ack_kill_taken |
      | after_ack_wipe     | after_ack_wipe |
      | disk_full          | disk_full |
      | disk_slow          | disk_slow |
      | disk_stall         | disk_stall |
      | clock_step         | clock_step |
      | zone_loss          | zone_loss |
      | zone_cut           | zone_cut |
      | core_cut           | core_cut core_cut_leader core_cut_leader_long core_cut_one_way core_cut_seeds core_cut_both |
      | node_cut           | node_cut node_cut_all node_cut_servers |
      | reset_conns        | reset_conns |
      | hup                | hup |
      | seed_turnover      | seed_turnover |
      | closing            | power_off_all wipe_after_ack kill_all |
    Examples: operators
      | kind               | faults |
      | config_change      | config_change config_move config_idle |
      | config_race        | config_race |
      | config_storm       | config_storm |
      | bad_config         | bad_config old_version |
      | big_config         | big_config |
      | ack_lost           | ack_lost replies_lost |
      | evacuate           | evacuate evacuate_warm |

  Scenario Outline: An isolated process reaches no endpoint, <traffic>
    Given a simulated scenario with <traffic>
    When a proxy is isolated
    Then its calls to each endpoint end without a response
    And after the partition is healed they get responses
    Examples:
      | traffic        |
      | library calls  |
      | open traffic   |

  Scenario Outline: A rule acknowledged at 10.080 s and requests at <at> s with status 404: <checker> finds <verdict>
    Given records of a rule acknowledged at 10.080 s, and <requests> requests for it at <at> s that got 404
    Then checker <checker> says <verdict>
    Examples: the rule may take 3 s after its acknowledgement to come into force, and must be in force after that
      | checker | requests | at     | verdict   |
      | config  | 1        | 10.090 | nothing   |
      | config  | 1        | 13.079 | nothing   |
      | config  | 1        | 13.081 | something |
      | denied  | 20       | 10.090 | nothing   |
      | denied  | 20       | 13.081 | something |

  Scenario Outline: A newer version of a rule within its time limit, <checker>
    Given records of a rule in force since 5.000 s, changed at 10.080 s, with 20 requests for it at 10.090 s that got 404
    Then checker <checker> says something
    Examples:
      | checker |
      | config  |
      | denied  |

  Scenario: A drained endpoint continues to serve for 800 ms after the end of its drain time
    Given a simulated scenario with open traffic
    When a simulated endpoint drains
    Then it is up 3.7 s after the acknowledgement, and down at 4.5 s

  Scenario: A connection that an endpoint dropped without notice is reset at its next use, and then replaced
    Given a simulated scenario with open traffic
    When an endpoint drops connections that were idle for 300 ms
    Then a call right after another succeeds, one 400 ms later is reset and does not run, and the next succeeds

  Scenario Outline: An endpoint with failure mode <how>
    Given a simulated scenario with open traffic
    When an endpoint fails every request by <how>
    Then a call there ends as <outcome>, and ran <runs> times
    Examples:
      | how    | outcome         | runs |
      | errors | 500             | 1    |
      | shed   | 503             | 0    |
      | busy   | 429             | 0    |
      | hang   | late            | 1    |
      | mute   | late            | 0    |
      | reset  | connection lost | 0    |

  Scenario: A reset breaks the pending calls of a process, and the process continues
    Given a simulated scenario with open traffic
    When all connections of a proxy are reset while it has pending calls
    Then their callers notice that the connection was lost
    And the proxy serves again within a second

  Scenario: A fault after a colon follows the one before within three seconds
    Given an open scenario of "srv_crash+hup:node_kill_master:core_cut" whose faults are recorded as they begin
    Then the first two begin together, and each of the others 0.1 to 3 s after the one before

  Scenario: A search joins faults in both ways, and removes them one by one
    Then of 50 planned scenarios some have faults that begin together and some that follow
    And "a+b:c" without its first fault is "b:c", and without its second "a:c"
