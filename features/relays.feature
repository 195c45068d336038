Feature: A host reaches engines through a peer that relays the connection

  Scenario Outline: A response that comes through a peer is not altered: <response>
    Given an engine that sends <response>, and a peer that relays to it
    When a host sends it an order with a body of <body> bytes through the peer
    Then the host gets <result>
    And the engine got the request once, byte for byte

    Examples:
      | response                                     | body    | result                |
      | a response with a length                     | 9       | the whole response    |
      | a chunked response of 3,000,000 bytes        | 9       | the whole response    |
      | a chunked response of 12,000 bytes in one block | 9    | the whole response    |
      | a response that ends with its connection     | 9       | the whole response    |
      | a response with a length                     | 3000000 | the whole response    |
      | a response that is shorter than its length   | 9       | a broken connection   |
      | a response that ends with a reset            | 9       | a broken connection   |
      | nothing, and resets the connection           | 9       | a broken connection   |
      | nothing, and closes the connection           | 9       | a broken connection   |
      | bytes that are no response                   | 9       | a broken connection   |
      | a response that ends with its connection, while the peer is killed | 9 | a broken connection |

  Scenario Outline: A connection that a peer does not relay was not used: <reason>
    Given a host, and a peer for which <reason>
    When the host sends an order through the peer
    Then the host knows within 0.5 s that nothing was sent, because <failure>

    Examples:
      | reason                                         | failure                    |
      | the engine refuses connections                 | the engine refused         |
      | the engine can't be reached                    | the engine is unreachable  |
      | the address is no engine's                     | the peer relayed nothing   |
      | the engine is reached only through other hosts | the peer relayed nothing   |
      | the limit of relayed connections is reached    | the peer relayed nothing   |
      | the shutdown has begun                         | the peer relayed nothing   |
      | no process listens                             | the peer relayed nothing   |
      | connections are accepted and never answered    | the peer relayed nothing   |
      | an earlier version is running                  | the peer relayed nothing   |
      | random bytes are sent                          | the peer relayed nothing   |

  Scenario Outline: Either end of a relayed connection sees at once that the other is gone: <event>
    Given an engine that sends a response without end, and a peer that relays to it
    When a host reads the response and <event>
    Then <effect> within 0.3 s

    Examples:
      | event                            | effect                                |
      | closes the connection            | the engine sees a closed connection   |
      | the peer is killed               | the engine sees a closed connection   |
      | the engine resets the connection | the host sees a broken connection     |
      | the peer is killed               | the host sees a broken connection     |

  Scenario: A peer keeps little of a response that the host does not read
    Given an engine that sends a response without end, and a peer that relays to it
    When a host reads no more of the response for 1 s
    Then the engine can send no more, and the peer holds less than 100 kB

  Scenario: A peer that shuts down finishes the connections that it relays
    Given an engine that sends a slow response of 1 s, and a peer that relays to it
    When the peer begins to shut down while a host reads the response
    Then the host gets the whole response
    And the peer ends its shutdown after that

  Scenario Outline: Peers are asked to relay in an order that keeps to the zone: <hosts>
    When the hosts <hosts> are ranked for a host in zone-a of region-1
    Then the order begins with one of <first>

    Examples:
      | hosts                                                          | first          |
      | b1 in zone-b of region-1, a2 in zone-a of region-1              | a2             |
      | c1 in zone-c of region-2, b1 in zone-b of region-1              | b1             |
      | a2 in zone-a of region-1 failed 0.2 s ago, c1 in zone-c of region-2 | c1         |
      | a2 in zone-a of region-1 failed 2 s ago, c1 in zone-c of region-2   | c1         |
      | a2 in zone-a of region-1 failed 4 s ago, c1 in zone-c of region-2   | a2         |
      | a2 in zone-a of region-1 failed 0.2 s ago, a3 in zone-a of region-1 failed 0.7 s ago | a3 |
      | a2 in zone-a of region-1, a3 in zone-a of region-1              | a2, a3         |

  Scenario Outline: Engines that are reached directly are preferred while they suffice: <direct> of <engines>
    When <direct> of <engines> engines are reached directly
    Then a call may be placed on <candidates> engines

    Examples:
      | direct | engines | candidates |
      | 4      | 4       | 4          |
      | 3      | 4       | 3          |
      | 2      | 4       | 2          |
      | 1      | 4       | 4          |
      | 0      | 4       | 4          |

  Scenario Outline: An engine that this host can't reach is down only if peers don't reach it either: <engine>, <peers>
    Given a host that can't reach an engine that <engine>, and <peers>
    When the host checks the engine
    Then the engine is <state>

    Examples:
      | engine               | peers                                    | state                      |
      | refuses connections  | three peers that reach it                | reached through peers      |
      | never answers        | three peers that reach it                | reached through peers      |
      | resets connections   | three peers that reach it                | reached through peers      |
      | refuses connections  | one peer that reaches it and two cut off | reached through peers      |
      | refuses connections  | three peers that don't reach it          | down                       |
      | never answers        | no peers                                 | down                       |
      | never answers        | three peers that never answer            | down                       |

  Scenario: An engine that sends data while peers are asked about it is not relayed
    Given a host that can't reach an engine that never answers, and three peers that reach it after 0.1 s
    When the host checks the engine, which sends it data 0.05 s after its probe has failed
    Then the engine is usable, and reached directly

  Scenario Outline: A host asks peers about engines that it uses, and once a second: <engine>
    Given a host that can't reach an engine that refuses connections, and three peers that don't reach it
    When the host <engine>, and fails to connect 5 times
    Then it has asked its peers <times>

    Examples:
      | engine                                  | times   |
      | called the engine a second ago          | 1 time  |
      | called the engine a minute ago          | 0 times |

  Scenario: An engine that was reached through peers is not tried directly because they are busy
    Given a host that can't reach an engine that never answers, and three peers that never answer
    When the host has reached the engine through peers, and checks it
    Then the engine is down, and still to be reached through peers

  Scenario Outline: A peer's report that an engine is down is checked: <cause>, <engine>
    Given a host with an attempt on an engine that <engine>
    When a peer reports that the engine is <cause>
    Then within 0.5 s the engine is <state>, and the attempt <attempt>

    Examples:
      | cause   | engine                    | state  | attempt          |
      | crashed | answers probes            | usable | goes on          |
      | silent  | answers probes            | usable | goes on          |
      | crashed | refuses connections       | down   | is interrupted   |
      | silent  | never answers             | down   | hears of it      |

  Scenario Outline: An answer that is written once more is never taken for another request's: <connections>
    Given an engine or store that sends each answer, and once more the refusal before it
    When 10 requests are sent one after the other on <connections>
    Then each request gets its own answer

    Examples:
      | connections                     |
      | direct connections to an engine |
      | connections through a peer      |
      | connections to the store        |

  Scenario Outline: An answer that comes before its request is not taken for its answer: <connections>, <refusal>
    Given an engine that sends a refusal <refusal> before it gets a request
    When one request is sent to it on <connections>
    Then it is not known whether the request ran

    Examples:
      | connections                     | refusal                |
      | direct connections to an engine | without an id          |
      | direct connections to an engine | of an earlier request  |
      | connections through a peer      | without an id          |
      | connections through a peer      | of an earlier request  |
