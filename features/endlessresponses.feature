Feature: A response without end is cut off in bounded memory

  Scenario Outline: An engine sends <bytes> without end in response to <call>
    Given a shared platform with 1 edge and 2 engines of each service
    When all engines send <bytes> without end in response to <call>
    Then the caller gets no success, within 1.5 seconds
    And the memory of the edge grew by less than 12 MB
    And the engines' connections are closed within 1 second

    Examples:
      | bytes                   | call           |
      | header lines            | POST /order/1  |
      | a header line           | POST /order/1  |
      | a status line           | POST /order/1  |
      | informational responses | POST /order/1  |
      | a body                  | POST /order/1  |
      | chunks                  | POST /order/1  |
      | a chunk line            | POST /order/1  |
      | trailers                | POST /order/1  |
      | a body                  | GET /stock/1   |
      | header lines            | POST /review/1 |
      | an event                | POST /review/1 |
      | a chunk line            | POST /review/1 |

  Scenario: An engine that sends its report without end is found silent in bounded memory
    Given a shared platform with 1 edge and 2 engines of each service
    When all engines hang in orders and send their reports without end
    Then the caller gets no success, within 1.5 seconds
    And the memory of the edge grew by less than 12 MB
