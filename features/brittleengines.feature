Feature: Engines that crash when they have to turn many requests away stay up

  Scenario Outline: All hosts together spare engines that crash under refusals: <hosts> hosts, <load>
    Given a shared platform with <hosts> edges and 3 engines of each service that run 3 calls of 50 ms
    When the engines of a service crash after more than 4 refusals in a second, under <load> for 14 seconds
    Then from 4 seconds on, no more than 2 of them crashed
    And at least <share> of their room was used, or all calls were served
    And refused calls were told when to come back

    Examples:
      | hosts | load                  | share |
      | 9     | 60 calls a second     | 0.5   |
      | 9     | 240 calls a second    | 0.5   |
      | 24    | 240 calls a second    | 0.5   |
      | 9     | 30 streams a second   | 0.5   |

  Scenario Outline: Hosts follow engines that crash under refusals and let fewer calls run: <hosts> hosts, <load>
    Given a shared platform with <hosts> edges and 3 engines of each service that run 6 calls of 50 ms
    When the engines of a service crash after more than 4 refusals in a second, and run 3 calls from 4 seconds later, under <load> for 16 seconds
    Then from 4 seconds on, no more than 2 of them crashed
    And from then on at least 0.5 of their room was used, or all calls were served
    And calls were refused within 50 ms, and told truly when to come back
    And no call is suspected of the crashes

    Examples:
      | hosts | load                  |
      | 9     | 60 calls a second     |
      | 9     | 100 calls a second    |
      | 9     | 160 calls a second    |
      | 9     | 240 calls a second    |
      | 24    | 240 calls a second    |
      | 9     | 30 streams a second   |

  Scenario Outline: Calls are not suspected of crashes that refusals caused: <load>
    Given a shared platform with 9 edges and 3 engines of each service that run 6 calls of 50 ms
    When the engines of a service tolerate 4 refusals in a second, run 1 call from 4 seconds later and crash 0.8 seconds after that, under <load> for 8 seconds
    Then no call is called a suspect

    Examples:
      | load                |
      | 160 calls a second  |
      | 30 streams a second |

  Scenario Outline: A crash that refusals caused is no evidence against the calls that it ended: <events>
    Given a host with a call on an engine that crashes
    When <events> on an engine that tolerates 4 refusals
    Then the host records <crashes> crashes against the call

    Examples:
      | events                                                               | crashes |
      | the call is lost                                                     | 1       |
      | 2 refusals are followed by the loss of the call                      | 0       |
      | the loss of the call is followed by 2 refusals                       | 0       |
      | 1 refusal is followed by the loss of the call                        | 1       |
      | 4 refusals are followed 3 seconds later by the loss of the call      | 1       |
      | 2 refusals of an earlier start are followed by the loss of the call  | 1       |
      | another host reports refusals before the loss of the call            | 0       |
      | another host reports refusals after the loss of the call             | 0       |
      | another host's log with refusals is merged after the loss of the call | 0      |

  Scenario Outline: The slots of one schedule keep refusals rare and use the room up: <calls> calls a second, <way> ms away
    When <calls> calls a second of 50 ms ask for slots of an engine <way> ms away that runs <slots> and tolerates <tolerance> refusals
    Then no second has more than <tolerance> refusals
    And at least <share> of the engine's room is used, or all calls are served

    Examples:
      | calls | way | slots | tolerance | share |
      | 20    | 0   | 3     | 4         | 0.8   |
      | 80    | 0   | 3     | 4         | 0.8   |
      | 400   | 0   | 6     | 4         | 0.8   |
      | 400   | 30  | 6     | 4         | 0.25  |
      | 400   | 30  | 6     | 0         | 0.2   |
      | 400   | 1   | 6     | 40        | 0.8   |

  Scenario Outline: Schedules follow the room of engines that shrinks: <engines> of 3 engines to <left>, <tolerance> refusals, <calls> calls a second <way> ms away, <trouble>
    When <engines> of 3 engines that run 6 calls and tolerate <tolerance> refusals run <left> from 4 seconds on, under <calls> calls a second <way> ms away, while <trouble>
    Then no more than 2 crashes follow, with any seed
    And at least <share> of the room that is left is used while its owner replies, or all calls are served

    Examples:
      | engines | tolerance | left | calls | way | share | trouble                        |
      | 3       | 4         | 3    | 100   | 1   | 0.5   | nothing else happens           |
      | 3       | 4         | 3    | 240   | 1   | 0.5   | nothing else happens           |
      | 3       | 4         | 2    | 240   | 1   | 0.5   | nothing else happens           |
      | 3       | 4         | 1    | 240   | 1   | 0.5   | nothing else happens           |
      | 1       | 4         | 3    | 240   | 1   | 0.5   | nothing else happens           |
      | 1       | 4         | 2    | 240   | 1   | 0.5   | nothing else happens           |
      | 1       | 4         | 1    | 240   | 1   | 0.5   | nothing else happens           |
      | 3       | 2         | 2    | 240   | 1   | 0.5   | nothing else happens           |
      | 3       | 1         | 3    | 240   | 1   | 0.5   | nothing else happens           |
      | 3       | 4         | 3    | 240   | 30  | 0.25  | nothing else happens           |
      | 3       | 4         | 1    | 240   | 30  | 0.25  | nothing else happens           |
      | 3       | 4         | 3    | 240   | 1   | 0.5   | the owner of the slots is killed |
      | 3       | 4         | 2    | 240   | 1   | 0.5   | the owner of the slots is killed |
      | 3       | 4         | 1    | 240   | 1   | 0.5   | the owner of the slots is killed |
      | 1       | 4         | 1    | 240   | 1   | 0.5   | the owner of the slots is killed |
      | 3       | 4         | 3    | 240   | 30  | 0.25  | the owner of the slots is killed |
      | 3       | 4         | 3    | 100   | 1   | 0.5   | the owner of the slots freezes |
      | 3       | 4         | 3    | 240   | 1   | 0.5   | the owner of the slots freezes |
      | 3       | 4         | 2    | 240   | 1   | 0.5   | the owner of the slots freezes |
      | 3       | 4         | 1    | 240   | 1   | 0.5   | the owner of the slots freezes |
      | 1       | 4         | 1    | 240   | 1   | 0.5   | the owner of the slots freezes |
      | 3       | 4         | 3    | 240   | 30  | 0.25  | the owner of the slots freezes |

  Scenario: A call does not wait for the slots of one engine after the other
    Given a call that may wait 0.25 seconds for a slot, and 3 engines whose slots are taken
    When the call asks for slots of all engines, and half a second later again
    Then it waited for 0.25 seconds each time

  Scenario: Calls are not held up by an owner of slots that does not reply
    Given a host that asks a silent owner for the slots of an engine
    When 100 calls a second need a slot for 3 seconds
    Then the owner is asked at most 2 times a second, and other calls are refused at once

  Scenario Outline: Slots of a schedule of 2 slots and no tolerated refusals: <events>
    When calls do this with the slots of an engine: <events>
    Then the calls <granted> have a slot

    Examples:
      | events                                                                          | granted |
      | at 0.1 a asks                                                                   | none    |
      | at 0.5 a asks, at 0.5 b asks, at 0.5 c asks                                     | a, b    |
      | at 0.5 a asks, at 0.5 b asks, at 0.6 a ends, at 0.7 c asks                      | b, c    |
      | at 0.5 a asks, at 0.5 b asks, at 0.6 c waits, at 0.7 a ends                     | b, c    |
      | at 0.5 a asks, at 0.5 b asks, at 0.6 c waits, at 0.7 c ends, at 0.8 a ends      | b       |
      | at 0.5 a asks, at 0.5 b asks, at 1.6 c asks                                     | c       |
      | at 0.5 a asks, at 0.6 a is refused, at 0.7 b asks, at 0.7 c asks                | b       |
      | at 0.5 a asks, at 0.6 a is refused, at 3.0 b asks, at 3.0 c asks                | b, c    |
      | at 0.5 a asks, at 0.5 b asks, at 0.6 the host of b is gone, at 0.7 c asks       | a, c    |

  Scenario Outline: The tolerance in a response's headers is decoded: <header>
    Then the tolerance <header> is decoded as <number>

    Examples:
      | header  | number    |
      | 4       | 4.0       |
      | 0       | 0.0       |
      | -3      | 0.0       |
      | 1e99    | 1000000.0 |
      | inf     | 0.0       |
      | nan     | 0.0       |
      | few     | 0.0       |
      | 6 and 2 | 2.0       |

  Scenario Outline: Observations of a statement that overtake each other: <observations>
    Given a host with an engine that stated a tolerance of 4
    When its tolerance is observed again: <observations>
    Then the host takes the tolerance of the engine to be <number>

    Examples:
      | observations                                          | number |
      | a response to an earlier request states none          | 4      |
      | a response to a later request states none             | none   |
      | a response to a later request states 2                | 2      |
      | another host reports at once that it ended            | 4      |
      | another host reports later that it ended              | none   |
      | another host reports 1 of an earlier start            | 4      |
      | the engine starts again under its id                  | 4      |
      | it starts again, and another one of the service has 3 | 3      |
      | its entry ends, and it starts again                   | 4      |
      | its entry ends, and it starts again after a minute    | none   |
      | it starts again, and answers without a statement      | none   |
