Feature: An engine gets no more requests than the limit that it states

  Scenario Outline: All hosts together keep to the limits of engines: <hosts> hosts, <load>, <trouble>
    Given a shared platform with <hosts> edges and 3 plain engines that accept 2.5, 2.0 and 1.5 requests a second
    When <load> arrive for <seconds> seconds while <trouble>
    Then no engine got more than one and a half times its limit and 5 requests in 4 seconds
    And each engine got at least <share> of its limit
    And calls were refused within <refusal> ms, and told when to come back

    Examples:
      | hosts | load                | seconds | trouble                             | share | refusal |
      | 9     | 30 calls a second   | 16      | nothing else happens                | 0.9   | 50      |
      | 9     | 30 calls a second   | 16      | a third of the edges is killed      | 0.6   | 500     |
      | 9     | 30 calls a second   | 16      | a third of the edges freezes        | 0.6   | 500     |
      | 9     | 30 calls a second   | 16      | a third stands still for 1.2 s each 3.7 s | 0.6 | 500   |
      | 9     | 30 calls a second   | 16      | three edges are added               | 0.6   | 50      |
      | 24    | 40 calls a second   | 14      | nothing else happens                | 0.9   | 50      |
      | 9     | 12 streams a second | 16      | nothing else happens                | 0.9   | 50      |

  Scenario: Engines without a limit serve all calls, and a limit that ends is noticed
    Given a shared platform with 9 edges and 3 plain engines that accept 2.5, 2.0 and 1.5 requests a second
    When only the first of them states its limit, for 8 seconds, under 30 calls a second
    Then no engine got more than one and a half times its limit and 5 requests in 4 seconds
    And all calls were served, and the engine got 3 calls a second again within 5 seconds

  Scenario Outline: The limit in a response's headers is decoded: <header>
    Then the limit <header> is decoded as <limit>

    Examples:
      | header      | limit     |
      | 2.5         | 2.5       |
      | 3           | 3.0       |
      | 1e99        | 1000000.0 |
      | 1e-99       | 0.01      |
      | 0           | invalid   |
      | -1          | invalid   |
      | nan         | invalid   |
      | inf         | invalid   |
      | many        | invalid   |
      | 2.5 and 1.5 | 1.5       |
      | 2.5 and 0   | 2.5       |

  Scenario Outline: Observations of a limit that overtake each other: <observations>
    Given a host with an engine that stated a limit of 2 a second
    When <observations>
    Then the host takes the limit of the engine to be <limit>

    Examples:
      | observations                                                       | limit |
      | a response to an earlier request states none                       | 2     |
      | a response to a later request states none                          | none  |
      | a response to an earlier request states 3                          | 2     |
      | a response to an earlier request states 1                          | 1     |
      | a response to a later request states 3                             | 3     |
      | another host reports at once that it ended                         | 2     |
      | another host reports later that it ended                           | none  |
      | another host reports a limit of 1 of an earlier start of the engine | 2     |
      | another host reports later that it is 1                            | 1     |
      | the engine starts again under its id                               | none  |

  Scenario Outline: The turns of one schedule keep to the limit and use it up: <calls> calls a second, <limit> allowed
    When <calls> calls a second ask for turns at an engine that accepts <limit> a second
    Then no 4 seconds have more than one and a half times the limit and 5 turns
    And 0.9 of the limit is used, and urgent calls are refused less often than others

    Examples:
      | calls | limit |
      | 5     | 1.5   |
      | 30    | 2.5   |
      | 300   | 40    |

  Scenario: A host that has just started grants no turns while others may own them
    Given a host that has just started, and owns the turns of a limited engine
    When it is asked for a turn after 1, 2.9 and 4 seconds
    Then it grants none, none and one

  Scenario Outline: A host that has just started leaves the turns to the host that granted them: <asking>
    Given three hosts, of which the one that owns the turns of a limited engine has just started
    When 10 calls a second need a turn at <asking> for 12 seconds
    Then 0.9 of the limit is used, and urgent calls are refused less often than others
    And no 4 seconds have more than one and a half times the limit and 5 turns

    Examples:
      | asking          |
      | that host       |
      | another host    |
      | all three hosts |

  Scenario Outline: Hosts that are cut off from each other keep to the limit together: <parts> parts
    Given 9 hosts that know a limited engine and are cut off from each other in <parts> parts
    When 30 calls a second need a turn at all hosts for 30 seconds
    Then no 4 seconds have more than one and a half times the limit and 5 turns
    And 0.9 of the limit is used, and urgent calls are refused less often than others

    Examples:
      | parts |
      | 2     |
      | 3     |
      | 9     |

  Scenario Outline: A call for which the owners of turns are silent is refused within 0.5 s: <owners>
    Given a host with 6 limited engines, the turns of which <owners>
    When a call asks for a turn at each engine until it has one
    Then the call <outcome> within 0.5 s

    Examples:
      | owners                              | outcome    |
      | belong to 6 silent hosts            | is refused |
      | belong to 2 silent hosts and others | has a turn |

  Scenario Outline: A host of an earlier version is not asked for turns: <peer>
    Given a host that owns the turns of an engine and is known as <peer>
    When another host needs a turn at the engine
    Then the owner is asked <times>

    Examples:
      | peer                             | times  |
      | not connected                    | 1 time  |
      | connected, without a heartbeat   | 1 time  |
      | announcing that it grants turns  | 1 time  |
      | announcing other views           | 0 times |

  Scenario Outline: A copy of a stream's KV memory is requested from a limited engine: <turn>
    Given a stream on an engine that accepts 2 requests a second, whose backup is lost
    When a copy to another engine is due while <turn>
    Then the engine gets <count> requests for a copy

    Examples:
      | turn                     | count |
      | a turn is free           | 1     |
      | no turn is free          | 0     |
      | the engine has no limit  | 1     |
