Feature: A request that silences its engines crashes no further ones

  # Guards against a poison request that is never blocked because its calls end before it
  # shows that the engines have crashed (review/13). Three retries may reach engines later
  # than 4 s after the third crash.
  Scenario Outline: A poison lookup that silences its engines for <silence> s is refused: <manner>
    Given a shared platform with 3 edges and 2 engines in a zone of each service in 3 zones that a poison lookup silences for <silence> s
    When the poison lookup comes to the edges in turn for 30 s: <manner>
    Then at most 3 of its retries reach engines later than 4 s after the third crash
    And every edge refuses the poison lookup, and other lookups are served

    Examples:
      | silence | manner                                 |
      | 4.5     | it waits for its deadline, every 6 s   |
      | 1.2     | it waits for its deadline, every 6 s   |
      | 8.0     | it waits for its deadline, every 6 s   |
      | 4.5     | it leaves after 0.4 s, every 6 s       |
      | 4.5     | it comes to two edges at once, every 6 s |
      | 4.5     | it waits for its deadline, every 1 s   |

  # Guards against a crash that is not recorded although its engine has ended, whatever
  # shows the end, and in whatever order.
  Scenario Outline: An unanswered call is a suspect once its engine has ended: <order>
    Given a host with a call on an engine that crashes
    When <order>, then the host has settled its evidence
    Then the host records 1 crash against the call

    Examples:
      | order                                                                     |
      | the call ends, and a new start registers before the entry lapses          |
      | the call ends, the entry lapses, and a new start registers                |
      | the call ends, and one answer has the new entry before the old one's end  |
      | the call ends, and one answer has the old entry's end before the new one  |
      | the call ends, the entry lapses, and it registers elsewhere under its id  |
      | the call ends, the entry lapses, and the engine answers nobody            |
      | the call ends, and a peer reports the crash                               |
      | a peer reports the crash with its own calls, and the call ends            |
      | its connection breaks, the entry lapses, and a new start registers        |

  # Guards against sound requests that are taken for poison.
  Scenario Outline: A call that its engine has survived is no suspect: <order>
    Given a host with a call on an engine that crashes
    When <order>, then the host has settled its evidence
    Then the host records 0 crashes against the call

    Examples:
      | order                                                                     |
      | the call ends, the engine answers another one, and a new start registers  |
      | the call ends, the entry lapses, and the same start registers again       |
      | the call ends, and the entry of a sound engine lapses                     |
      | the call ends, and a draining engine leaves                               |
      | the call ends, a new start registers, and another engine runs the call    |
      | the call ends, another engine runs the call, and a new start registers    |

  Scenario Outline: Calls that the engine was heard after, or of long ago, are no suspects
    Given calls that began and ended at <times>
    When it shows at <now> that the engine, heard at <heard>, has ended
    Then <suspects> of them are suspects

    Examples:
      | times                  | heard | now  | suspects |
      | 1 to 2                 | 0.5   | 5.0  | 1        |
      | 1 to 2                 | 1.5   | 5.0  | 1        |
      | 1 to 2                 | 2.5   | 5.0  | 0        |
      | 1 to 2, 3 to 4         | 2.5   | 5.0  | 1        |
      | 1 to 2, 1 to 4         | 0.5   | 5.0  | 2        |
      | 1 to 2                 | 0.5   | 16.5 | 1        |
      | 1 to 2                 | 0.5   | 17.5 | 0        |

  Scenario: A request that engines run between crashes is never blocked
    Given a host with a call on an engine that crashes
    When 5 engines end silently under the call, which another engine runs after each
    Then the call is not blocked
