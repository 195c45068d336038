Feature: An order runs at most once under a network partition

  Scenario Outline: Both sides of a partition send one order key: <cut>
    Given two linked zones with 2 routers each and 2 plain services
    When <cut>
    And one order key is sent through every host at once
    Then the order ran at most once
    And no order reported as not-run ever ran

    Examples:
      | cut                                                               |
      | the zones are cut off from each other                             |
      | the zones are cut off from each other, one also from the platform |
