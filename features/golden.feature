Feature: Sessions match their recordings

  Guards against unintended changes of the headers, tokens and spans of a session.

  Scenario Outline: A session matches its recording: <session>
    Given two zones with 2 routers each, 2 engines with one salt, and tracing
    When a traced generation of 60 tokens is read, with this loss after 30 tokens: <loss>
    Then the session matches the recording <session>

    Examples:
      | session            | loss                                          |
      | plain              | nothing                                       |
      | engine-killed      | its engine is killed                          |
      | engine-frozen      | its engine freezes for 4 seconds              |
      | connections-silent | its engine's open connections go silent       |
      | router-killed      | the router is killed                          |
      | router-and-engine  | the router and its engine are killed together |
