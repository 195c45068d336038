Feature: Each way in which a response ends early is logged and counted

  Scenario Outline: A whole request gets no complete response: <event>
    Given a shared platform with 1 edge and 2 model engines in 1 zone
    When a caller sends <call>, and <event>
    Then the edge logs that the response ended early, with the cause <cause>

    Examples:
      | call                  | event                           | cause       |
      | a stream of 90 events | leaves after 3 events           | caller left |
      | a stream of 90 events | leaves before the first event   | caller left |
      | a stream of 90 events | all engines crash for 9 seconds | given up    |
      | a stream of 400 events | the edge is told to stop       | shutdown    |
