Feature: Attempts beside one on a silent engine

  Scenario: A call hears that its engine is silent once more after the engine has answered
    Given a host with an attempt of a call on an engine that falls silent
    When the engine answers a probe, and falls silent again
    Then the attempt counts as silent only while the engine is, and the call hears of it twice

  Scenario: An engine that has sent data since its probe failed is not marked silent
    Given a host with an attempt of a call on an engine that falls silent
    When the engine sends data while peers are asked in vain
    Then it is not marked silent, and peers hear of no silence

  Scenario: A stream that finds no other engine uses up no retries
    Given a stream on a silent engine, where there is no other one
    When its engine goes on after 2.2 s
    Then the retry budget is as it was before

  Scenario Outline: The KV copy of an attempt that is lost is used at once, while <beside>
    Given a stream on a silent engine, while <beside>
    When its engine is lost after 0.3 s, with a KV copy on another one
    Then the stream goes on from the copy within 0.3 s

    Examples:
      | beside                             |
      | it waits for room on another one   |
      | it has no retry left for 0.3 s     |

  Scenario: A KV copy is kept while its holder does not answer
    Given a stream on a silent engine with a KV copy on an engine that does not answer
    When it looks for another engine
    Then the copy can still be used

  Scenario: An engine that leaves one question for its start unanswered is asked again
    Given a stream that is taken up while engines of two versions are registered
    When its engine answers the second question for its start
    Then the stream is placed on its engine

  Scenario: A comment between events wins no race
    Given a stream with attempts on two engines
    When one of them sends a comment and no event
    Then the other attempt goes on

  Scenario: Sound engines that are silent count as engines that run a call
    Given a stream that was outrun on a silent engine, and runs on another one
    When it chooses its next step
    Then both engines count

  Scenario: A plain call on an engine that is dead looks for another one again
    Given a plain call on an engine that is silent for good, with no retry left for 0.3 s
    When it is run
    Then another engine answers it within 1.5 s

  Scenario: A lookup leaves an engine that is dead when the others have been silent too
    Given a shared platform with 3 edges and 3 engines of each service, with room for 48 streams each
    When each edge gets a lookup while all engines stand still, and all but one go on after 1.2 s
    Then each lookup is answered

  Scenario: Streams that wait for their first event stay where they are when all engines have answered again
    Given a shared platform with 3 edges and 3 engines of each service that read a prompt for 2 s
    When 12 streams are sent, and all engines stand still from 0.2 s on for 0.7 s
    Then every stream arrives whole, from one engine

  Scenario: An engine that is silent for longer than sound ones are does not count as one that runs a call
    Given a stream on an engine that is silent for good, which one engine may run
    When the stream on the silent engine is run
    Then it goes on at another engine within 2 s
