Feature: Engines hold the declared models, placed by one lease holder at a time

  Scenario Outline: The declared placement is reached: <fault>
    Given two zones with a router and a placer each, an engine that checks fencing numbers and one that does not
    When the engines are declared to hold quote and letter
    And this fault of the placers occurs: <fault>
    Then the engines hold quote and letter within 25 seconds
    And no engine executed an order of an older lease after one of a newer lease
    And models were loaded at no more than the declared rate

    Examples:
      | fault                                          |
      | none                                           |
      | the holder is killed                           |
      | the holder is paused for longer than its lease |
      | the platform loses the next responses          |

  Scenario: Lease keepers that pause never hold the lease at the same time
    Given two lease keepers on a simulated clock
    Then in 200 schedules of pauses, lost responses and outages at most one of them holds the lease
