Feature: A stream goes on only at the software version of the engine that began it

  Scenario Outline: Streams go on at their version, and are not given up: <trouble>
    Given a shared platform with 6 edges and 6 model engines, three of each of two versions
    When 36 streams of 150 events run, <trouble>, and their callers take up what breaks
    Then each stream has events of one version only
    And at least <share> of the streams that were cut off are complete

    Examples:
      | trouble                                                      | share |
      | two engines crash                                            | 0.9   |
      | two engines of one version crash                             | 0.9   |
      | two engines of one version crash and start again as another  | 0.9   |
      | an engine starts again under its id as another version       | 0.9   |
      | three hosts are killed                                       | 0.9   |
      | three hosts are killed and an engine crashes                 | 0.9   |
      | five hosts are killed                                        | 0.9   |
      | three hosts are killed and start again                       | 0.9   |
      | all hosts are killed and start again                         | 0.9   |

  Scenario Outline: Streams that can't go on end at once: <trouble>
    Given a shared platform with 6 edges and 6 model engines, three of each of two versions
    When 36 streams of 150 events run, <trouble>, and their callers take up what breaks
    Then each stream has events of one version only
    And the streams of <ending> ended incomplete within <bound> seconds, the others are complete

    Examples:
      | trouble                                                          | ending                      | bound |
      | all engines of one version crash and start again as another      | that version                | 3     |
      | all hosts are killed while the engines of one version are replaced | that version              | 3     |

  Scenario: Streams of the only version go on when all hosts have started again
    Given a shared platform with 6 edges and 6 model engines, three of each of two versions
    When the engines of the second version leave, and are forgotten
    And 36 streams of 150 events run, all hosts are killed and start again, and their callers take up what breaks
    Then each stream has events of one version only
    And at least 0.9 of the streams that were cut off are complete

  Scenario Outline: Where a stream that its caller takes up began: <recorded>, <candidates>
    When a caller takes up a stream recorded at <recorded> and <candidates> can have begun it
    Then it goes on at <origin>, because of: <reason>

    Examples:
      | recorded | candidates                | origin   | reason                                          |
      | chat v1  | chat v1, chat v2          | chat v1  | recorded                                        |
      | chat v1  | chat v2                   | chat v1  | recorded                                        |
      | chat v1  | draft v1                  | nothing  | the route no longer leads to the stream's service |
      | nothing  | chat v1                   | chat v1  | only version of the service                     |
      | nothing  | chat v1, chat v2          | nothing  | unknown stream, and several versions serve      |
      | nothing  | chat v1, draft v1         | nothing  | unknown stream, and several versions serve      |
      | nothing  | chat v1, perhaps others   | nothing  | unknown stream, and other versions may serve    |
      | chat v1  | chat v1, perhaps others   | chat v1  | recorded                                        |
      | nothing  | nothing                   | nothing  | no engine of the service is known               |

  Scenario Outline: Whether a host knows all versions that engines had lately: <host>
    Given one of two hosts <host>
    Then it <knows> all versions of engines

    Examples:
      | host                                                                | knows        |
      | has just started                                                    | doesn't know |
      | has just started and read the store                                 | knows        |
      | has run for a minute                                                | knows        |
      | lost the store 2 seconds ago, and can't reach the other                | knows        |
      | lost the store 4 seconds ago, and can't reach the other                | doesn't know |
      | lost the store 2 minutes ago, and can't reach the other                | doesn't know |
      | lost the store 4 seconds ago, and reaches the other                 | knows        |
      | lost the store 4 seconds ago, and can't reach the other, which shut down | knows        |

  Scenario Outline: Whether a host confirms that it knows all versions: <host>, <store>, <peer>
    Given a host that <host>, whose store <store> and whose peer <peer>
    When it is asked whether the versions that it knows are all
    Then it <confirms> that they are, and knows <versions>

    Examples:
      | host             | store                   | peer                            | confirms         | versions |
      | knows v1         | answers                 | is silent                       | confirms         | v1       |
      | knows v1         | answers with an engine of v2 | is silent                  | confirms         | v1, v2   |
      | knows v1         | is silent               | is silent                       | does not confirm | v1       |
      | knows v1         | fails                   | is silent                       | does not confirm | v1       |
      | knows v1         | fails                   | was heard just before           | does not confirm | v1       |
      | knows v1         | fails                   | is heard later                  | confirms         | v1       |
      | knows v1         | fails                   | is not connected                | does not confirm | v1       |
      | has just started | answers                 | is heard later                  | does not confirm | v1       |

  Scenario Outline: A host that is out of step takes no stream up at another version: last contact <age> s ago, <store>, <peer>
    Given a host that knows v1, whose store <store> and whose peer <peer>
    And its last contact with the store was <age> s ago
    When a caller takes up a stream that began at another host
    Then the stream <result>

    Examples:
      | age | store                        | peer                            | result           |
      | 0.5 | is silent                    | is silent                       | is refused       |
      | 2   | is silent                    | is silent                       | is refused       |
      | 2   | fails                        | is not connected                | is refused       |
      | 10  | fails                        | was heard just before           | is refused       |
      | 2   | answers with an engine of v2 | is silent                       | is refused       |
      | 2   | answers                      | is silent                       | goes on at v1    |
      | 2   | is silent                    | is heard later                  | goes on at v1    |
      | 2   | is silent                    | sends a record of v2 later      | goes on at v2    |
      | 10  | fails                        | is heard later                  | goes on at v1    |

  Scenario Outline: A host that stood still takes no stream up at another version: <store>, <callers>
    Given a shared platform with 3 edges and 3 model engines of v1
    When a host stands still while engines of v2 join and streams begin at them, and takes these up as it wakes, <store>, from callers that <callers>
    Then each stream has events of one version only
    And some of the streams began at v2

    Examples:
      | store                        | callers                       |
      | with the store               | name the stream's attempt     |
      | with the store               | don't name it                 |
      | without the store for 3 s    | name the stream's attempt     |
      | without the store for 3 s    | don't name it                 |

  Scenario: Versions are kept in the store while engines have them
    Given two hosts that see engines of v1 and v2, and keep their versions in the store
    When the engines of v2 leave
    Then a host that starts a second later knows v1 and v2, and one a minute later v1

  Scenario Outline: New streams begin where engines of their version will stay: <engines>
    When a stream begins while engines are: <engines>
    Then it may begin on <chosen>

    Examples:
      | engines                                          | chosen      |
      | a v1, b v1                                       | a, b        |
      | a v1, b v2, c v2                                 | b, c        |
      | a v1 full, b v2, c v2                            | b, c        |
      | a v1, b v2 full, c v2 full                       | a, b, c     |
      | a v1, b v2 queued, c v2 queued                   | a, b, c     |
      | a v1, b v1, c v2, d v2, e v1 draining            | c, d        |
      | a v1, b v1, c v2 full, d v2 full, e v1 draining  | a, b, c, d  |
      | a v1, b v1, c v2, e v1 draining                  | a, b        |
      | a v1, b v1, c v1, d v2, e v2, f v1 draining      | a, b, c, d, e |
      | a v1, b v1, c v1, d v2, e v2, f v1 draining, g v1 draining | d, e |
      | a v1, b v2                                       | a, b        |

  Scenario Outline: A stream is taken up by the engine that began it: <engines>
    When a stream that began on a is taken up while engines are: <engines>
    Then it goes on at engine <chosen>

    Examples:
      | engines                           | chosen |
      | a v1, b v1                        | a      |
      | a v1 one prompt, b v1             | a      |
      | a v1 two prompts, b v1            | b      |
      | a v1 two prompts, b v1 one prompt | a      |
      | a v1 full, b v1                   | b      |
      | b v1 one prompt, c v1             | c      |

  Scenario: Streams that are taken up together on one host spread over the engines
    Given a host whose checks of engines take a while
    When callers take up four streams of v1 together, while four engines of it are idle
    Then each of the four goes on at another engine

  Scenario: A backup of a stream is kept by an engine of its version
    When backups are chosen for streams of v1 while only engines of v2 have free memory
    Then no engine is chosen

  # Guards against a stream that goes on from the copy of another of its runs, which has
  # the same name.
  Scenario Outline: Runs of one call keep their KV copies at different engines: <runs>
    Given <count> engines of one version, all of them idle
    When a call runs on <runs> in turn
    Then <copies> copies are kept, each at another engine than the run and the other copies

    Examples:
      | count | runs    | copies |
      | 4     | a       | 1      |
      | 4     | a, b    | 2      |
      | 6     | a, b, c | 3      |
      | 6     | a, b, a | 3      |
      | 2     | a, a    | 1      |

  Scenario: Hosts tell each other where streams began
    Given two hosts of a zone and one of another zone that exchange origins
    When a stream begins on each host, and a host starts later
    Then every host knows the engine that began each stream
    And every host knows where each stream began, until the caller's deadline
    And no record was sent more than 12 times

  Scenario Outline: Hosts of an earlier build that lacks <views> exchange records
    Given a host that exchanges origins with one of an earlier build without <views>
    When a stream begins on each of the two
    Then each host knows these engines of the streams: <engines>
    And each host knows these KV copies of the streams: <copies>

    Examples:
      | views                                         | engines                                | copies                   |
      | nothing                                       | engine-0, engine-1, engine-0, engine-1 | copy-0, copy-1, copy-0, copy-1 |
      | stream-origin-copies                          | engine-0, engine-1, engine-0, engine-1 | copy-0, none, none, copy-1 |
      | stream-origin-copies and stream-origin-engines | engine-0, none, none, engine-1        | copy-0, none, none, copy-1 |

  # Guards against two hubs that replace each other's record of a stream in turn.
  Scenario Outline: Records of a stream that overtake each other: <records>
    Given two hosts of a zone and one of another zone that exchange origins
    When records of one stream reach a hub in this order: <records>
    Then every host has the record <newest> of the stream
    And no record was sent more than <count> times

    Examples:
      | records       | newest | count |
      | 0, 1, 2       | 2      | 12    |
      | 2, 0, 1       | 2      | 12    |
      | 1, 1, 0       | 1      | 12    |

  Scenario Outline: A host forgets the KV copies of streams that are over: <ending>
    Given a host that exchanges origins
    When 50 streams with KV copies begin on it, and <ending>
    Then it finds no KV copy and remembers the content of none

    Examples:
      | ending                    |
      | their copies are lost     |
      | their callers' time ends  |
      | their copies are lost, and their callers' time ends |

  Scenario: A host with too many records of streams drops the oldest, and logs how many
    Given a host that exchanges origins
    When one stream more begins on it than it can record
    Then it knows where the last streams began, and not where the first did
    And it has logged once that it dropped 1 record

  Scenario: A stream that began a quarter of a second before all hosts end has a record
    Given hosts that keep records of streams in the store
    When engines of a second version appear, and a stream begins a quarter of a second before its host ends
    Then a host that starts now knows the streams 1, after 1 writes

  Scenario Outline: Many records of streams are written less often: <records>
    When a write carries <records> records
    Then the next write follows after <interval> seconds

    Examples:
      | records | interval |
      | 0       | 0.1      |
      | 10000   | 0.2      |
      | 50000   | 0.5      |

  Scenario Outline: Records of streams in the store: <events>
    Given hosts that keep records of streams in the store
    When these things happen: <events>
    Then a host that starts now knows the streams <known>, after <writes> writes

    Examples:
      | events                                                               | known | writes |
      | stream 1 begins on v1, a second passes                                | none  | 0      |
      | v2 appears, stream 1 begins on v1, a second passes                    | 1     | 1      |
      | stream 1 begins on v1, v2 appears, a second passes                    | 1     | 1      |
      | v2 appears, stream 1 begins on v1, a second passes, a second passes   | 1     | 1      |
      | v2 appears, stream 1 begins on v1, a second passes, stream 2 begins on v2, a second passes | 1, 2 | 2 |
      | v2 appears, stream 1 begins on v1, the answer is lost, a second passes, a second passes | 1 | 1 |
      | v2 appears, stream 1 begins on v1, the store fails, a second passes, a second passes    | 1 | 1 |
      | v2 appears, stream 1 begins on v1, a second passes, an odd object is written            | 1 | 1 |
      | v2 appears, stream 1 begins on v1, a second passes, a minute passes, stream 2 begins on v2, a second passes | 2 | 2 |
