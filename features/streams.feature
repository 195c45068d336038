Feature: A stream reaches its caller whole when engines, their backups and routers fail

  Scenario Outline: A stream goes on in the same answer: its engine <trouble>
    Given a shared platform with 2 edges and 4 model engines in 2 zones
    When a caller reads a stream of 180 events
    And after 20 events its engine <trouble>
    Then the caller gets every event once and in order, in one answer
    And no pause is longer than <pause> seconds
    And prompts were read <prompts> times in all

    Examples:
      | trouble                                  | pause | prompts |
      | crashes                                  | 0.7   | 1       |
      | goes silent                              | 0.9   | 1       |
      | resets its connections                   | 0.7   | 1       |
      | loses its backup, and crashes 2 s later  | 0.7   | 1       |
      | and its backup crash at once             | 1.5   | 2       |
      | starts to leave                          | 0.7   | 1       |
      | and all others of its zone crash         | 0.7   | 1       |

  Scenario Outline: A stream that has not begun is started again: its engine <trouble>
    Given a shared platform with 1 edge and 4 model engines in 2 zones that read slowly
    When a caller asks for a stream of 20 events
    And before the first event its engine <trouble>
    Then the caller gets every event once and in order, in one answer

    Examples:
      | trouble                |
      | crashes                |
      | goes silent            |
      | resets its connections |

  Scenario: A stream is continued where the caller has it
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a caller asks for a stream of 30 events after event 12
    Then the caller gets the events from 13 to 30 once, in one answer

  Scenario: A stream whose engines all fail does not look complete
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a caller reads a stream of 200 events
    And after 20 events all engines crash for 20 seconds
    Then the answer ends without looking complete, and what came is in order

  Scenario: A stand-in that crashed resets a connection that was idle at the crash
    Given a shared platform with 1 edge and 2 model engines in 2 zones
    When a model engine crashes for 20 seconds while a connection to it is idle
    Then a request on that connection is reset without an answer

  Scenario: Many streams survive the loss of a zone of engines
    Given a shared platform with 2 edges and 6 model engines in 3 zones
    When 24 callers read streams of 80 events
    And all engines of one zone crash meanwhile
    Then each caller gets every event once and in order, in one answer
    And prompts were read at most 28 times in all

  Scenario: A request that crashes engines gets its final answer, and others go on
    Given a shared platform with 2 edges and 6 model engines in 3 zones with a poison
    When 6 callers read streams of 100 events
    And a request that crashes its engine is sent 3 times, to each edge in turn
    Then it crashed at most 3 engines, and its last answer came at once
    And each caller gets every event once and in order, in one answer

  Scenario Outline: Engines that <trouble> convict nobody
    Given a shared platform with 1 edge and 6 model engines in 3 zones
    When 4 callers read streams of 120 events
    And 4 times in a row the engines of streams <trouble>
    Then each caller gets every event once and in order, in one answer

    Examples:
      | trouble                |
      | reset their connections |
      | go silent for a moment |
