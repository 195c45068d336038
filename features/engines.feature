Feature: Requests that crash engines, and engines that leave

  Scenario: A request that crashes engines takes three at most, and no innocent
    Given a zone with 2 routers and 6 engines that a marked prompt kills
    When 24 innocent generations run through every host
    And a marked request is sent through r1, and again through r2
    Then at most 3 engines were lost
    And the marked request got its final answer with Retry-After
    And every innocent generation came whole

  Scenario: A pause, a cut and a silent connection convict nobody
    Given a linked zone with 2 routers and 3 engines
    When the same request meets a frozen engine, a cut and silent connections
    Then it came whole
    And no request is under suspicion

  Scenario Outline: Nothing new goes to an engine that is leaving: <word>
    Given two linked zones with 1 router and 2 engines each
    When 6 generations are under way through every host
    And an engine is marked as leaving by <word>
    Then within 3 seconds no host gives it new work
    And every generation under way came whole

    Examples:
      | word                                                    |
      | the platform's list                                     |
      | its own word                                            |
      | its own word while zone-a is cut off from the platform  |
      | its own word while the zones are cut off from each other|

  Scenario Outline: A graceful shutdown of <what> under load cuts nothing
    Given two linked zones with 1 router and 2 engines each
    When 12 generations are under way through every host
    And <what> is told to stop
    Then every generation under way came whole
    And no caller of those had to reconnect
    And <what> ended by itself

    Examples:
      | what |
      | r1   |
      | e1   |

  Scenario: Events that no engine should send do no harm
    Given a linked zone with 2 routers and 3 engines
    When every engine sends 12 malformed events among 6 generations
    Then every generation under way came whole
    And every router still runs
