Feature: Whole sessions, as recorded

  Scenario Outline: <session>
    Given two zones with 2 routers each, 2 engines that choose alike, and traces
    When a traced generation of 60 tokens is read and after 30 tokens there is <loss>
    Then the session is as recorded in <session>

    Examples:
      | session             | loss                                          |
      | plain               | nothing                                       |
      | engine-killed       | its engine is killed                          |
      | engine-frozen       | its engine freezes for 4 seconds              |
      | connections-silent  | its engine's open connections go silent       |
      | router-killed       | the router is killed                          |
      | router-and-engine   | the router and its engine are killed together |
