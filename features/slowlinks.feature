Feature: Slow links between hosts, upstreams and the platform

  Scenario Outline: With 30 milliseconds on every link <loss>
    Given two zones whose links take 30 milliseconds each way
    When a generation of 150 tokens is read through r1
    And after 40 tokens <loss>
    Then the answer is whole and of one generation
    And it went on within 3 seconds

    Examples:
      | loss                                          |
      | its engine is killed                          |
      | its engine freezes for 4 seconds              |
      | the router is killed                          |
      | the router and its engine are killed together |
