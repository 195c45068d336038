Feature: A stream reaches its caller complete when engines, their backups and routers fail

  Scenario Outline: A stream is resumed within the same response: its engine <fault>
    Given a shared platform with 2 edges and 4 model engines in 2 zones
    When a caller reads a stream of 180 events
    And after 20 events its engine <fault>
    Then the caller gets every event once and in order, in one response
    And no pause is longer than <pause> seconds
    And <prompts> prompts were prefilled in all

    Examples:
      | fault                                     | pause | prompts |
      | crashes                                   | 0.7   | 1       |
      | stops responding                          | 0.9   | 1       |
      | resets its connections                    | 0.7   | 1       |
      | loses its backup and crashes 2 s later    | 0.7   | 1       |
      | and its backup crash together             | 1.5   | 2       |
      | starts to drain and crashes 0.5 s later   | 0.7   | 1       |
      | and all others of its zone crash together | 0.7   | 1       |

  Scenario Outline: A stream without a first event is retried: its engine <fault>
    Given a shared platform with 1 edge and 4 model engines in 2 zones that prefill slowly
    When a caller asks for a stream of 20 events
    And before the first event its engine <fault>
    Then the caller gets every event once and in order, in one response

    Examples:
      | fault                  |
      | crashes                |
      | stops responding       |
      | resets its connections |

  Scenario: A stream resumes after the last event that the caller has
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a caller asks for a stream of 30 events after event 12
    Then the caller gets the events from 13 to 30 once, in one response

  Scenario: A stream whose engines all fail ends incomplete
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a caller reads a stream of 200 events
    And after 20 events all engines crash for 20 seconds
    Then the response ends incomplete, with its events in order

  Scenario: A crashed stand-in resets a connection that was idle at the crash
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a model engine crashes for 20 seconds while a connection to it is idle
    Then a request on that connection is reset without a response

  Scenario: Many streams survive the loss of a zone of engines
    Given a shared platform with 2 edges and 6 model engines in 3 zones
    When 24 callers read streams of 80 events
    And all engines of one zone crash during the streams
    Then each caller gets every event once and in order, in one response
    And at most 28 prompts were prefilled in all

  Scenario: A poison request is refused permanently, and other streams continue
    Given a shared platform with 2 edges and 6 model engines in 3 zones that crash on a poison request
    When 6 callers read streams of 100 events
    And a poison request is sent 3 times, to each edge in turn
    Then it crashed at most 3 engines, and its last attempt was refused at once
    And each caller gets every event once and in order, in one response

  Scenario Outline: Requests are not blocked by engines that <fault>
    Given a shared platform with 1 edge and 6 model engines in 3 zones
    When 4 callers read streams of 120 events
    And 4 times in a row the engines of streams <fault>
    Then each caller gets every event once and in order, in one response

    Examples:
      | fault                   |
      | reset their connections |
      | stop responding briefly |

  Scenario Outline: A stream with neither a length nor chunks ends with its connection: <ending>
    Given a shared platform with 1 edge and 3 model engines in 3 zones
    When a stream of 10 events is sent, and its engine <ending>
    Then the caller got all 10 events, and <runs> engines ran the stream

    Examples:
      | ending                                            | runs |
      | closes the connection after the last event        | 1    |
      | closes the connection inside the third event      | 2    |
