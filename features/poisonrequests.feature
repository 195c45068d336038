Feature: A blocked poison request crashes no further engines

  Scenario Outline: A poison request is refused by hosts that did not observe its crashes: <fault>
    Given a shared platform with 3 edges and 6 model engines in 3 zones that crash on a poison request
    When a poison request is sent through the first edge until it is refused
    And <fault> and the poison request is sent once through every edge
    Then it crashed at most 3 engines, and every edge refused it

    Examples:
      | fault                                                                |
      | nothing else happens                                                 |
      | another edge is restarted                                            |
      | the edges are restarted in turn                                      |
      | all edges are killed at once                                         |
      | the store is restored from a copy of before and all edges are killed |

  Scenario Outline: A poison lookup that its caller repeats at other hosts is refused after three crashes: <engines>
    Given a shared platform with 3 edges and <engines> of each service in 3 zones that crash on a poison lookup
    When the poison lookup is sent through the edges in turn, for 4 rounds
    Then it crashed at most 3 engines, and every edge refused it

    Examples:
      | engines             |
      | 1 engine in a zone  |
      | 2 engines in a zone |

  Scenario: A request that was blocked while the store was down is refused after all hosts end
    Given a shared platform with 3 edges and 6 model engines in 3 zones that crash on a poison request
    When a poison request is refused while the store is down, and the store is back
    And all edges are killed at once and the poison request is sent once through every edge
    Then it crashed at most 3 engines, and every edge refused it

  Scenario: A request that is blocked while it waits for an engine is not sent
    Given a stream whose request is blocked while it waits for admission
    When the stream is run
    Then no engine gets it, and the caller gets a final refusal that says it did not run

  Scenario Outline: A block in the store is <outcome>: <block>
    Given a block in the store: <block>
    When a host decodes it
    Then the block is <outcome>

    Examples:
      | block                   | outcome |
      | of 30 seconds ago       | valid   |
      | of a clock ahead        | valid   |
      | without a time          | ignored |
      | with an invalid time    | ignored |
      | with another name       | ignored |
      | with text as content    | ignored |

  Scenario Outline: A crash is evidence against the calls that lost it, however it is shown: <order>
    Given a host with a call on an engine that crashes
    When <order>, then the host has settled its evidence
    Then the host records 1 crash against the call

    Examples:
      | order                                                              |
      | its connection breaks and the engine refuses new ones              |
      | a peer reports the crash before its connection breaks              |
      | its connection breaks, probes time out, and a peer reports it      |
      | its connection breaks, probes time out, and the engine registers again |
      | its connection stays silent and the engine refuses new ones        |
      | its connection breaks, a peer reports its own calls, and the engine refuses new ones |
      | its connection breaks, a peer's log has the crash, and the engine refuses new ones |
      | its connection breaks, probes time out, and a peer reports its own calls |

  Scenario: The calls on a draining engine that goes silent are interrupted
    Given a host with a call on an engine that crashes
    When the engine drains and goes silent
    Then the call is told that its engine is silent, and the crash log is empty

  Scenario Outline: A crash is evidence beside reports that explain nothing: <report>
    Given a host with a call on an engine that crashes
    When its engine crashes, and at the same time <report>
    Then the host records <crashes> against the call

    Examples:
      | report                                                      | crashes   |
      | a peer reports that another engine of the zone is silent    | 1 crash   |
      | another host loses the same call with an engine of the zone | 2 crashes |

  Scenario: A request whose crashes always coincide with another is blocked after six
    Given a host with a call on an engine that crashes
    When 6 engines crash under the call, each together with another of its zone
    Then the call is blocked

  Scenario Outline: A suspect request waits until the cause of its third loss is known: <loss>
    Given a host with a call on an engine that crashes
    When the call has lost two engines, and <loss>
    Then the call is blocked once its investigations have ended

    Examples:
      | loss                                                                |
      | a third resets the first probe                                      |
      | a third refuses the first probe after a peer reported its own calls |
      | a third ignores the first probe, and a peer reports its own calls   |
      | a third refuses the first probe and is in the log of a peer         |

  Scenario: A request that lost engines on other hosts waits after its first loss on this one
    Given a host with a call on an engine that crashes
    When peers report 2 crashes under the call, and it loses its engine
    Then the call has to wait, and another call on the engine does not

  Scenario Outline: Crash logs become equal when hosts merge them: <case>
    Given two hosts with crash logs: <case>
    When each host merges the log of the other
    Then both logs have the same digest and <crashes> crashes of the request

    Examples:
      | case                                     | crashes |
      | one is empty                             | 1       |
      | each has another crash                   | 2       |
      | both have the crash with other requests  | 1       |
      | one has blocked the request              | 0       |
      | each has the crash at another time       | 1       |

  Scenario: An expired crash does not return from the log of another host
    Given two hosts with crash logs: one is empty
    When the crash has all but expired and each host merges the log of the other
    Then the empty log is still empty

  Scenario: A full crash log drops the oldest crashes and stays consistent
    Given a host with a full crash log
    When 10 more engines crash
    Then its log has its former size, without the 10 oldest crashes

  Scenario: A host that was busy for half a second does not report its engines as silent
    Given a host with a call on an engine that crashes
    When it is busy for 0.5 seconds while it probes an engine that answers
    Then the engine is not reported down
