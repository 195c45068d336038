Feature: An organisation's rate limit holds across all hosts

  Scenario: The admitted rate stays within 10 percent of the limit when demand is uneven
    Given two linked zones with 2 routers each and a limit of 60 requests a second
    When callers send 120 requests a second, three quarters of them to r1, for 14 seconds
    Then from second 6 on the admitted rate is within 10 percent of 60
    And all refusals had Retry-After, and half of them came within 0.5 seconds

  Scenario: A zone that is cut off admits no more than its share
    Given two linked zones with 2 routers each and a limit of 60 requests a second
    When callers send 120 requests a second to all hosts for 8 seconds
    And zone-b is cut off from everything while the callers continue for 8 seconds
    Then from second 2 on the admitted rate is no more than 66
