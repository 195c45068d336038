Feature: Orders under a partition

  Scenario Outline: Both sides of a partition try one key: <cut>
    Given two linked zones with 2 routers each and 2 plain services
    When <cut>
    And one order key is sent through every host at once
    Then the order ran at most once
    And no key that was told not-run ever ran

    Examples:
      | cut                                                        |
      | the zones are cut off from each other                      |
      | the zones are cut off from each other, one also from the platform |
