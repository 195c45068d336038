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

  # Guards against responses that fit into memory one by one but not together, and
  # against upstreams that are read so fast that other calls have to wait.
  Scenario Outline: 60 calls at once to engines that send <bytes> without end in response to <call>
    Given a shared platform with 1 edge and 3 engines of each service
    When engines send <bytes> without end in response to 60 of <call> at once, and 40 others are sent meanwhile
    Then the memory of the edge grew by less than 32 MB
    And each of the 40 others is served within <bound> s

    Examples:
      | bytes              | call           | bound |
      | header lines       | POST /review/1 | 0.5   |
      | chunks             | POST /review/1 | 0.5   |
      | a body             | POST /review/1 | 0.5   |
      | an event           | POST /review/1 | 0.5   |
      | an event in chunks | POST /review/1 | 0.5   |
      | a chunk line       | POST /review/1 | 0.5   |
      | comments           | POST /review/1 | 0.5   |
      | an event again     | POST /review/1 | 0.5   |
      | header lines       | POST /order/1  | 1.5   |
      | a body             | POST /order/1  | 1.5   |
      | chunks             | POST /order/1  | 1.5   |
      | trailers           | POST /order/1  | 1.5   |
      | a body             | GET /stock/1   | 1.5   |

  Scenario: 60 callers that send header lines without end
    Given a shared platform with 1 edge and 3 engines of each service
    When 60 callers send header lines without end, and 40 orders are sent meanwhile
    Then the memory of the edge grew by less than 32 MB
    And each of the 40 others is served within 0.5 s

  Scenario Outline: Large responses share the memory for them: <responses>
    Given memory for large responses of 8 MB
    When large responses begin and end: <responses>
    Then these have memory: <granted>

    Examples:
      | responses                        | granted |
      | a 4, a 4, b 4                    | a, b    |
      | a 1, a 1, a 1, a 1, a 1          | a, a, a, a |
      | a 4, a 4, a 4, b 1, c 1          | a, b, c |
      | a 4, b 4, c 4, d 1               | a, b    |
      | a 4, b 4, c 4, d 1, a ends       | b, c    |
      | a 4, b 4, c 4, d 1, a ends, b ends | c, d  |
      | a 4, a 4, a ends                 | a       |
      | a 4, b 4, c 4, d 4, c leaves, a ends | b, d |

  # Guards against a grant to a response whose call has just ended.
  Scenario: Calls that end while their responses wait for memory leave it to others
    Given memory for large responses of 8 MB
    When 200 responses of 5 upstreams wait for memory, and calls end at random
    Then all memory is free, and each other response had its part

  Scenario Outline: An attempt at a stream ends if it brings nothing new: <content>
    When the body of a stream is <content>
    Then reading it <result>

    Examples:
      | content                                           | result  |
      | 200 kB of events                                  | goes on |
      | 200 kB of events, each followed by a comment      | goes on |
      | a comment each second for 10 minutes              | goes on |
      | 200 kB of comments                                | ends    |
      | 200 kB of an event that was delivered             | ends    |
      | 200 kB of events, then 200 kB of comments         | ends    |
