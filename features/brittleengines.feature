Feature: Engines that crash when they have to turn many requests away stay up

  Scenario Outline: All hosts together spare engines that crash under refusals: <hosts> hosts, <load>
    Given a shared platform with <hosts> edges and 3 engines of each service that run 3 calls of 50 ms
    When the engines of a service crash after more than 4 refusals in a second, under <load> for 14 seconds
    Then from 4 seconds on, no more than 2 of them crashed
    And at least <share> of their room was used, or all calls were served
    And refused calls were told when to come back

    Examples:
      | hosts | load                  | share |
      | 9     | 60 calls a second     | 0.5   |
      | 9     | 240 calls a second    | 0.5   |
      | 24    | 240 calls a second    | 0.5   |
      | 9     | 30 streams a second   | 0.5   |
