Feature: Hosts know how fast each engine works, and place streams by it

  Scenario Outline: The pace that a stream shows: <pauses>
    When a stream has pauses of <pauses>
    Then its usual pause is <usual>

    Examples:
      | pauses                                | usual  |
      | 5 times 26 ms                         | none   |
      | 40 times 26 ms                        | 26 ms  |
      | 25 times 26 ms, 12 times 65 ms        | 26 ms  |
      | 8 times 26 ms, 40 times 65 ms         | 26 ms  |
      | 40 times 58 ms                        | 58 ms  |
      | 3 times 1 ms, 40 times 26 ms          | 26 ms  |
      | 4 times 1 ms, 40 times 26 ms          | 26 ms  |
      | 15 times 26 ms, 20 times 200 ms       | 26 ms  |

  Scenario Outline: How slow an engine counts among others: <pause> ms beside <others>
    When an engine has a usual pause of <pause> ms, and others have <others> ms
    Then it counts as taking <slowness> times as long

    Examples:
      | pause | others         | slowness |
      | 58    | 26, 26, 26     | 2.23     |
      | 26    | 58, 26, 26     | 1.0      |
      | 30    | 26, 26, 26     | 1.0      |
      | 58    | 26, 26         | 1.0      |
      | 900   | 26, 26, 26, 26 | 4.0      |
      | 0     | 26, 26, 26, 26 | 1.0      |

  Scenario Outline: One host tells the others of an engine's pace: <measured>
    Given two hosts that know an engine and three others with a pause of 26 ms
    When one of them measures pauses of the engine: <measured>
    Then it takes it to be <slowness> times as slow, and the other nearly so, after <updates> updates

    Examples:
      | measured                                   | slowness | updates |
      | 58 ms                                      | 2.23     | 1       |
      | 58 ms, 58 ms, 60 ms                        | 2.27     | 1       |
      | 26 ms, 58 ms, 58 ms, 58 ms                 | 2.08     | 2       |
      | 58 ms by an engine that states no pace     | 1.0      | 0       |
      | 58 ms of the engine's former start         | 1.0      | 1       |
      | an absurd pause                            | 1.0      | 1       |

  Scenario Outline: An engine's load is stated as <header>
    Then the load that is read from it is <load>

    Examples:
      | header       | load                |
      | 3,0,8        | 3, 0, 8, no pace    |
      | 3,0,8,250    | 3, 0, 8, pace 2.5   |
      | 3,0,8,       | nothing             |
      | 3,0          | nothing             |
      | 3,0,8,100,1  | nothing             |
      | 3,0,8,-5     | nothing             |
