Feature: Load is shared, and load beyond capacity is refused early

  Scenario: A request without a token by its deadline is refused at its deadline
    Given one router and 1 engine of 2 slots whose load reports lag by 2 seconds
    When a client outside this system occupies all slots
    And 4 generations are requested with a deadline of 1 second
    Then each was refused within 2 seconds with Retry-After
    And the engine runs none of them

  Scenario: Requests beyond the engines' capacity are refused early
    Given one router and 1 engine of 2 slots whose load reports lag by 2 seconds
    When 60 generations of 50 tokens are requested at once with a deadline of 5 seconds
    Then some are complete and all others were refused with Retry-After
    And half of the refusals came within 1 second
    And no accepted generation got its first token after its deadline

  Scenario: A large organisation does not crowd out a small one
    Given one router and 1 engine of 2 slots whose load reports lag by 0 seconds
    And a second organisation of the same weight
    When the first organisation sends 30 generations of 30 tokens and the second sends 6
    Then the second organisation's generations ended before the last third of the first's

  Scenario: A generation of higher priority overtakes waiting ones
    Given one router and 1 engine of 2 slots whose load reports lag by 0 seconds
    When 20 generations of 30 tokens wait and one of priority 9 arrives
    Then the generation of priority 9 ended before half of the others

  Scenario: Checks on a slow upstream are hedged, and orders never are
    Given two linked zones with 1 router each, and 2 plain services
    When one plain service is slow and 20 checks and 5 orders are sent
    Then 19 of 20 checks took less than 1.5 seconds
    And each order ran once

  Scenario: Goodput recovers after half the engines crash at 80 percent load
    Given one router and 4 engines of 6 slots whose load reports lag by 0 seconds
    When generations arrive at 80 percent of capacity for 14 seconds and half the engines are down from second 4 to 8
    Then every accepted generation is complete
    And in the last 2 seconds goodput was at least 60 percent of that before the crash
