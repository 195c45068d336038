Feature: Load is shared, and what cannot be served is refused at once

  Scenario: A request without a token at its deadline gets its final answer then
    Given one router and 1 engine of 2 slots whose reports lag by 2 seconds
    When a sister firm takes all slots
    And 4 generations are asked for with a deadline of 1 second
    Then each was refused within 2 seconds with Retry-After
    And the engine runs nothing for them

  Scenario: More than the engines can do is refused at once
    Given one router and 1 engine of 2 slots whose reports lag by 2 seconds
    When 60 generations of 50 tokens are asked for at once with a deadline of 5 seconds
    Then some came whole and all others were refused with Retry-After
    And half of the refusals came within 1 second
    And no accepted generation waited longer than its deadline

  Scenario: A large organisation does not crowd out a small one
    Given one router and 1 engine of 2 slots whose reports lag by 0 seconds
    And a second organisation of the same weight
    When the first sends 30 generations of 30 tokens and the second 6
    Then the second's generations ended before most of the first's

  Scenario: A higher priority goes first
    Given one router and 1 engine of 2 slots whose reports lag by 0 seconds
    When 20 generations of 30 tokens wait and one of priority 9 arrives
    Then that one ended before most of the others

  Scenario: A slow upstream of an idempotent check is hedged, and never an order
    Given two linked zones with 1 router each, and 2 plain services
    When one plain service is slow and 20 checks and 5 orders are sent
    Then 19 of 20 checks took less than 1.5 seconds
    And each order ran once

  Scenario: Half the engines crash at four fifths of the load
    Given one router and 4 engines of 6 slots whose reports lag by 0 seconds
    When generations arrive at 80 percent of capacity for 14 seconds and half the engines are down from second 4 to 8
    Then every accepted generation came whole
    And in the last 2 seconds goodput was at least 60 percent of that before the crash
