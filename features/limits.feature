Feature: An organisation's rate holds over all hosts

  Scenario: The total stays within a tenth of the limit when demand is uneven
    Given two linked zones with 2 routers each and a limit of 60 requests a second
    When callers send 120 requests a second, three quarters of them to r1, for 14 seconds
    Then from second 6 on the admitted rate is within 10 percent of 60
    And refusals came at once with Retry-After

  Scenario: A zone that is cut off stays within its share
    Given two linked zones with 2 routers each and a limit of 60 requests a second
    When callers send 120 requests a second to all hosts for 8 seconds
    And zone-b is cut off from everything, and the callers go on for 8 seconds
    Then from second 2 on the admitted rate is no more than 66
