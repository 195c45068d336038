Feature: A generation reaches its caller complete when routers are lost

  Background:
    Given two zones with 2 routers and 2 engines each

  Scenario Outline: Router loss: <loss> after <tokens> tokens
    When a generation of 150 tokens is read through r1
    And after <tokens> tokens <loss>
    Then the generation is complete, with a single generation id
    And it resumed within 3 seconds

    Examples: The router
      | tokens | loss                                          |
      | 75     | the router is killed                          |
      | 149    | the router is killed                          |
      | 75     | the router is paused for 4 seconds            |
      | 75     | the router and its engine are killed together |
      | 75     | the journal holder is killed                  |
      | 40     | the journal holder is killed, then the router |
      | 40     | the journal holder is killed, then the engine |

  Scenario Outline: A call sent again without an event id joins its running generation: <loss>
    When a caller without event ids reads a generation of 150 tokens through r1
    And after 75 tokens <loss>
    Then the generation is complete, with a single generation id
    And no more than 200 tokens were decoded

    Examples:
      | loss                                          |
      | the router is killed                          |
      | the router is paused for 4 seconds            |
      | the router and its engine are killed together |

  Scenario: The loss of router, journal holder and engine at once is reported as a lost generation
    When a generation of 150 tokens is read through r1
    And after 75 tokens the router, its journal holder and its engine are killed together
    Then the caller gets the problem generation-lost within 3 seconds
    And the tokens that it got are the first ones of a single generation
