Feature: A generation reaches its caller complete when engines are lost

  Background:
    Given two zones with 2 routers and 2 engines each

  Scenario Outline: Engine loss: <loss> after <tokens> tokens
    When a generation of 150 tokens is read through r1
    And after <tokens> tokens <loss>
    Then the generation is complete, with a single generation id
    And it resumed within 3 seconds

    Examples: The engine
      | tokens | loss                                             |
      | 0      | its engine is killed                             |
      | 1      | its engine is killed                             |
      | 75     | its engine is killed                             |
      | 149    | its engine is killed                             |
      | 75     | its engine freezes for 4 seconds                 |
      | 75     | its engine's open connections go silent          |
      | 75     | its engine is killed and restarts at its address |
      | 40     | two engines are killed one after the other       |

  Scenario Outline: All engines stand still for 1.2 s after <tokens> tokens
    When a generation of 150 tokens is read through r1
    And after <tokens> tokens all engines stand still for 1.2 s
    Then the generation is complete, with a single generation id
    And it resumed within 3 seconds
    And its caller did not have to reconnect

    Examples:
      | tokens |
      | 0      |
      | 1      |
      | 75     |

  Scenario: An engine whose connections went silent is reached over a new connection
    When a generation of 150 tokens is read through r1
    And after 75 tokens its engine's open connections go silent
    Then the generation is complete, with a single generation id
    And it resumed over a new connection to the same engine
