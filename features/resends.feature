Feature: A call is sent to an engine once for each attempt, whatever its method

  Scenario Outline: A call is not sent again when its connection breaks: <method>, <ending>
    Given an engine that reads a call and then <ending>
    When a <method> call is sent to it
    Then it received the call once, and the call counts as possibly run

    Examples:
      | method | ending                                                |
      | GET    | closes the connection                                 |
      | GET    | resets the connection                                 |
      | GET    | closes the connection and refuses new ones            |
      | GET    | resets the connection and refuses new ones            |
      | HEAD   | resets the connection and refuses new ones            |
      | PUT    | resets the connection                                 |
      | DELETE | resets the connection                                 |
      | POST   | resets the connection and refuses new ones            |

  Scenario Outline: A call that must not repeat runs once when its answer is lost: <method>
    Given a shared platform with 1 edge and 2 engines of each service
    When a <method> order is sent to engines that lose every answer
    Then it ran once, and the caller was not told that it did not run

    Examples:
      | method |
      | GET    |
      | PUT    |
      | DELETE |
      | POST   |
