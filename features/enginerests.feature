Feature: Engines that ask for rest, or say that they leave, are left alone

  Scenario Outline: An engine that asks a host for rest gets two requests from it at most: <hosts> hosts, <engines> of three, <share>, <seconds> s, <load>
    Given a shared platform with <hosts> edges and 3 engines of each service in 3 zones
    When <engines> of the three engines of a service turn <share> away and ask for <seconds> s of rest, under <load> for 12 seconds
    Then no engine got more than 2 requests from a host within a rest that it had asked for
    And <served> in 100 calls are served at the first attempt

    Examples:
      | hosts | engines | share         | seconds | load                            | served |
      | 9     | 2       | all calls     | 2       | 60 calls a second               | 95     |
      | 6     | 2       | all calls     | 3       | 40 calls a second               | 95     |
      | 9     | 3       | 1 call in 10  | 1.5     | 60 calls a second               | 50     |
      | 9     | 2       | all calls     | 3       | 10 calls and 8 streams a second | 95     |

  Scenario: Calls to a service whose engines all ask for rest are refused at once
    Given a shared platform with 6 edges and 3 engines of each service in 3 zones
    When 3 of the three engines of a service turn all calls away and ask for 5 s of rest, under 40 calls a second for 12 seconds
    Then no engine got more than 2 requests from a host within a rest that it had asked for
    And refused calls take 0.1 s at most, and are told to come back after the rest

  Scenario: The rest that an engine asks of a relaying host binds that host
    Given a shared platform with 9 edges and 3 engines of each service in 3 zones
    When engines are cut off from two thirds of the hosts, and 2 of three turn all calls away and ask for 2 s of rest, under 40 calls a second for 14 seconds
    Then no engine got more than 2 requests from a host within a rest that it had asked for

  Scenario: An engine that says in its responses that it leaves gets no calls after 3 seconds
    Given a shared platform with 9 edges and 3 engines of each service in 3 zones
    When one of three engines says that it leaves, under 40 calls and 8 streams a second for 10 seconds
    Then it got no calls from a host later than 3 s after a response to that host
    And 95 in 100 calls are served at the first attempt

  Scenario Outline: The rest in a refusal's headers is decoded: <status>, <header>
    Then the rest in a response of status <status> with <header> is decoded as <seconds>

    Examples:
      | status | header                        | seconds |
      | 503    | 2                             | 2       |
      | 503    | 0.25                          | 0.25    |
      | 429    | 3                             | 3       |
      | 503    | 0                             | 0       |
      | 503    | -4                            | 0       |
      | 503    | 1e99                          | 600     |
      | 503    | inf                           | 600     |
      | 503    | nan                           | 1       |
      | 503    | soon                          | 1       |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | 1       |
      | 503    | 2 and 5                       | 5       |
      | 503    | none                          | none    |
      | 200    | 3                             | none    |

  Scenario Outline: Rests of an engine that overlap: <events>
    Given a host with an engine
    When the engine asks for rest: <events>
    Then after that the engine rests for <seconds> s more

    Examples:
      | events                                         | seconds |
      | at 1.0 for 3                                   | 3       |
      | at 1.0 for 3, at 2.0 for 1                     | 2       |
      | at 1.0 for 3, at 2.0 for 3                     | 3       |
      | at 1.0 for 3, at 5.0 for 0                     | 0       |
      | at 1.0 for 3, at 2.0 it starts again           | 0       |
      | at 1.0 for 3, at 2.0 a peer relayed a rest of 4 | 4       |
      | at 1.0 for 3, at 2.0 a peer relayed a rest of 4 for an earlier start | 2 |

  Scenario Outline: An engine that rests is probed once: <probes> probes in <seconds> s
    Given a host with an engine that answers probes and has asked for rest
    When the host probes it <probes> times
    Then the engine gets <arrived> probes

    Examples:
      | probes | seconds | arrived |
      | 1      | 1       | 1       |
      | 5      | 1       | 1       |

  Scenario Outline: The statement that an engine leaves is decoded: <header>
    Then the statement <header> is decoded as <result>

    Examples:
      | header   | result  |
      | 1        | leaving |
      | 1 and 1  | leaving |
      | yes      | leaving |
      | 0        | staying |
      | none     | staying |

  Scenario Outline: A host that knows that an engine leaves gives it no work: <events>
    Given a host with an engine that has stated that it leaves
    When then <events>
    Then the host <result> the engine

    Examples:
      | events                                                | result       |
      | nothing else happens                                  | does not use |
      | a later response has no such statement                | does not use |
      | another host reports that it stays                    | does not use |
      | its registration lapses and comes back                | does not use |
      | its registration changes                              | does not use |
      | it starts again under its id                          | uses         |
      | another engine gets its address                       | uses         |
