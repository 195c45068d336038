Feature: Engines hold the declared models, by the orders of one placer at a time

  Scenario Outline: The declared placement is reached: <trouble>
    Given two zones with a router and a placer each, a checking engine and one that does not check
    When the engines are declared to hold quote and letter
    And there is this trouble with the placers: <trouble>
    Then the engines hold quote and letter within 25 seconds
    And no engine carried out an order of an older lease after a newer one
    And weights were loaded at no more than the declared rate

    Examples:
      | trouble                                            |
      | none                                               |
      | the holder is killed                               |
      | the holder is paused for longer than its lease     |
      | the platform loses the next answers                |

  Scenario: Lease terms against a clock that stands still for a paused holder
    Given two lease keepers with clocks of their own
    Then over 200 schedules of pauses and lost answers no two of them hold the lease at once
