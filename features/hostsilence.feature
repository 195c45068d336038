Feature: A host that is silent for a moment and goes on costs no call

  Scenario Outline: Calls at hosts that stand still: <hosts>, <seconds> s, <beside>
    Given a shared platform with 6 edges and 3 engines of each service, with room for 48 streams each
    When <hosts> stand still for <seconds> s every 3.7 s for 15 s, under 8 calls and 8 streams a second, <beside>
    Then every stream arrives whole, and every call gets an engine's answer
    And no call ran twice, was joined from two answers, or was refused after it ran
    And no engine was reported silent to other hosts

    Examples:
      | hosts            | seconds | beside                         |
      | one of the hosts | 1.2     | nothing else happens           |
      | one of the hosts | 1.2     | a configuration every 0.5 s    |
      | all hosts        | 1.2     | nothing else happens           |
      | all hosts        | 1.2     | a configuration every 0.5 s    |

  Scenario Outline: Calls through relaying hosts that stand still: <hosts>, <seconds> s, <beside>
    Given a shared platform with 6 edges and 3 engines of each service, with room for 48 streams each
    And engines hang the connections of the first 4 edges
    When <hosts> stand still for <seconds> s every 3.7 s for 15 s, under 8 calls and 8 streams a second, <beside>
    Then every stream arrives whole, and every call gets an engine's answer
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | hosts                     | seconds | beside                         |
      | one of the relaying hosts | 1.2     | nothing else happens           |
      | all relaying hosts        | 1.2     | nothing else happens           |
      | all relaying hosts        | 1.2     | a configuration every 0.5 s    |

  Scenario Outline: A call to an engine that is reached through peers which are silent: <peers>
    Given a host that reaches an engine through two peers, <peers>
    When the host sends it an order that has <deadline> s
    Then <result>

    Examples:
      | peers                           | deadline | result                                          |
      | which go on after 1.2 s         | 8        | the engine answers the order, and got it once   |
      | one of which goes on after 1.2 s | 8       | the engine answers the order, and got it once   |
      | whose processes have ended      | 8        | the host knows within 0.2 s that it was not sent |
      | which never go on               | 1        | the host knows within 1 s that it was not sent  |

  Scenario: An engine is not reported silent to other hosts since the relays to it are
    Given a host that reaches an engine through two peers, which go on after 1.2 s
    When the host checks the engine while calls run on it
    Then the host gives it no new work, and reports nothing to other hosts

  Scenario Outline: A peer that is silent while it is dialled is not taken for dead: <seconds> s
    Given a peer that stands still for <seconds> s
    When a host connects to it
    Then the peer is <state>

    Examples:
      | seconds | state                     |
      | 1.2     | connected, and never dead |
      | 5.0     | dead within 2.5 s         |

  Scenario Outline: A host that stood still takes what has arrived meanwhile: <wait>
    Given a peer and an engine that answer within 0.1 s
    When the host <wait>, and its event loop is busy for 0.8 s
    Then it gets the answer

    Examples:
      | wait                                 |
      | connects to the engine               |
      | asks the peer to relay a connection  |
      | asks the peer for a turn             |

  Scenario: A peer that was taken for dead and goes on is alive again
    Given two connected hosts, one of which answers after 0.4 s
    When the other asks it to keep a journal, and takes it for dead
    Then it is alive within 0.7 s, and counts as reachable
