Feature: Generations survive losses when all links are slow

  Scenario Outline: With a delay of 30 milliseconds on every link: <loss>
    Given two zones whose links take 30 milliseconds each way
    When a generation of 150 tokens is read through r1
    And after 40 tokens <loss>
    Then the generation is complete, with a single generation id
    And it resumed within 3 seconds

    Examples:
      | loss                                          |
      | its engine is killed                          |
      | its engine freezes for 4 seconds              |
      | the router is killed                          |
      | the router and its engine are killed together |
