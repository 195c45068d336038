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

  Scenario: A response is repeated by the host that collects the claims of its key
    Given two linked zones with 2 routers each and 2 plain services
    And each link takes 100 milliseconds each way
    When an order is sent through a host, then through the one that collects its claims
    Then the order ran exactly once
    And the last response reports ran
