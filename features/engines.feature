Feature: Poison requests, draining engines and malformed engine events

  Scenario: A poison request crashes three engines at most and breaks no other generation
    Given a zone with 2 routers and 6 engines that a marked prompt crashes
    When 24 unmarked generations run through every host
    And a marked request is sent through r1, and again through r2
    Then at most 3 engines crashed
    And the marked request was refused as a poison request with Retry-After
    And every unmarked generation is complete

  Scenario: A pause, a network cut and a silent connection make no request suspect
    Given a linked zone with 2 routers and 3 engines
    When one request encounters a frozen engine, silent connections and a network cut
    Then its generation is complete
    And no request is suspect

  Scenario Outline: A draining engine gets no new work: marked by <source>
    Given two linked zones with 1 router and 2 engines each
    When 6 generations are under way through every host
    And an engine is marked as draining by <source>
    Then 3 seconds later no host sends it new work
    And every generation under way is complete

    Examples:
      | source                                                        |
      | its entry in the platform                                     |
      | the engine itself                                             |
      | the engine itself while zone-a is cut off from the platform   |
      | the engine itself while the zones are cut off from each other |

  Scenario Outline: A graceful shutdown of <process> under load interrupts no generation
    Given two linked zones with 1 router and 2 engines each
    When 12 generations are under way through every host
    And <process> is asked to shut down
    Then every generation under way is complete
    And none of their callers had to reconnect
    And <process> exited with status 0

    Examples:
      | process |
      | r1      |
      | e1      |

  Scenario: Malformed engine events break no generation and stop no router
    Given a linked zone with 2 routers and 3 engines
    When every engine sends 12 malformed events during 6 generations
    Then every generation under way is complete
    And every router still runs
