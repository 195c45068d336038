Feature: A stream that broke off goes on, or is seen to be incomplete, whatever the next engine answers

  Scenario Outline: The next engine's answer is no part of the stream: <answer>, <copies>, <path>
    Given a host that reaches 3 model engines <path>, and <copies> of runs
    When a stream of 60 events breaks off after 10, and the next engine answers with <answer>
    Then the caller got all events once and in order, and nothing else

    Examples:
      | answer                               | copies     | path           |
      | status 500 with events               | no copies  | directly       |
      | status 500 with numbered events      | no copies  | directly       |
      | status 200 with plain text           | no copies  | directly       |
      | an error event                       | no copies  | directly       |
      | events and an error event            | no copies  | directly       |
      | events and a line of text            | no copies  | directly       |
      | events and text                      | no copies  | directly       |
      | events and a second head             | no copies  | directly       |
      | events and a second head in a chunk  | no copies  | directly       |
      | a second head                        | no copies  | directly       |
      | text before an event                 | no copies  | directly       |
      | no events                            | no copies  | directly       |
      | no events, reset                     | no copies  | directly       |
      | half a head                          | no copies  | directly       |
      | half a head, reset                   | no copies  | directly       |
      | a head without its last byte         | no copies  | directly       |
      | most of a head                       | no copies  | directly       |
      | a short body                         | no copies  | directly       |
      | no body                              | no copies  | directly       |
      | status 500 with events               | copies     | directly       |
      | an error event                       | copies     | directly       |
      | events and text                      | copies     | directly       |
      | no events                            | copies     | directly       |
      | half a head                          | copies     | directly       |
      | status 500 with events               | no copies  | through a peer |
      | an error event                       | no copies  | through a peer |
      | events and a second head             | no copies  | through a peer |
      | half a head                          | no copies  | through a peer |
      | half a head, reset                   | no copies  | through a peer |

  Scenario Outline: A stream that can't go on is seen to be incomplete: <answer>, <protocol>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 60 events breaks off after 10, and all engines answer <protocol> callers with <answer>
    Then the caller got the first events in order, and nothing else, and sees that they are not all

    Examples:
      | answer                     | protocol |
      | status 500 with events     | HTTP/1.1 |
      | status 200 with plain text | HTTP/1.1 |
      | an error event             | HTTP/1.1 |
      | events and text            | HTTP/1.1 |
      | events and a second head   | HTTP/1.1 |
      | no events                  | HTTP/1.1 |
      | half a head                | HTTP/1.1 |
      | status 500 with events     | HTTP/1.0 |
      | an error event             | HTTP/1.0 |
      | half a head                | HTTP/1.0 |

  Scenario Outline: A stream is whole for a caller of <protocol>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 60 events is read by a caller of <protocol>
    Then the caller got all events once and in order, and nothing else

    Examples:
      | protocol |
      | HTTP/1.0 |
      | HTTP/1.1 |

  Scenario Outline: A stream that its host can't finish is seen to be incomplete: the host <event>, <protocol>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 200 events is read by a caller of <protocol>, and after 10 the host <event>
    Then the caller got the first events in order, and nothing else, and sees that they are not all

    Examples:
      | event     | protocol |
      | is killed | HTTP/1.0 |
      | is killed | HTTP/1.1 |

  Scenario Outline: A stream whose first engines answer with errors begins elsewhere: <answer>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 20 events is sent, and 2 engines answer with <answer>
    Then the caller got all events once and in order, and nothing else

    Examples:
      | answer                  |
      | status 500 with events  |
      | an error event          |
      | events and text         |
      | a second head           |
      | half a head             |
      | no events               |

  Scenario Outline: A stream whose engines all answer with errors does not begin: <answer>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 20 events is sent, and 3 engines answer with <answer>
    Then the caller gets a failure, and nothing of what the engines sent

    Examples:
      | answer                  |
      | status 500 with events  |
      | an error event          |
      | a second head           |
      | half a head             |
      | no events               |

  Scenario Outline: An answer that ends early is no success, and an order runs once: <answer>, <path>
    Given a host that reaches 3 plain engines <path>
    When orders are sent, and all engines answer with <answer>
    Then no order is answered as a success or as not run, and each ran at most once

    Examples:
      | answer                       | path           |
      | half a head                  | directly       |
      | half a head, reset           | directly       |
      | a head without its last byte | directly       |
      | a short body                 | directly       |
      | a short body, reset          | directly       |
      | no body                      | directly       |
      | half a head                  | through a peer |
      | half a head, reset           | through a peer |
      | a short body                 | through a peer |
      | a short body, reset          | through a peer |
