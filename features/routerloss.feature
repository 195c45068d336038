Feature: A generation reaches its caller whole when routers are lost

  Background:
    Given two zones with 2 routers and 2 engines each

  Scenario Outline: One loss: <loss> after <tokens> tokens
    When a generation of 150 tokens is read through r1
    And after <tokens> tokens <loss>
    Then the answer is whole and of one generation
    And it went on within 3 seconds

    Examples: The router
      | tokens | loss                                                  |
      | 75     | the router is killed                                  |
      | 149    | the router is killed                                  |
      | 75     | the router is paused for 4 seconds                    |
      | 75     | the router and its engine are killed together         |
      | 75     | the journal holder is killed                          |
      | 40     | the journal holder is killed, then the router         |
      | 40     | the journal holder is killed, then the engine         |

  Scenario Outline: A plain resend finds the generation under way: <loss>
    When a resending caller reads a generation of 150 tokens through r1
    And after 75 tokens <loss>
    Then the answer is whole and of one generation
    And no more than 200 tokens were decoded

    Examples:
      | loss                                          |
      | the router is killed                          |
      | the router is paused for 4 seconds            |
      | the router and its engine are killed together |

  Scenario: Router, journal holder and engine at once: the caller is told, nothing is stitched
    When a generation of 150 tokens is read through r1
    And after 75 tokens the router, its journal holder and its engine are killed together
    Then the caller is told within 3 seconds that the generation is lost
    And what it had is the beginning of one answer
