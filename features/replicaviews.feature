Feature: A host notices that its replica differs from a peer's

  # Guards against a gap before the newest change: an engine's draining that was overtaken
  # by a later change on another path, while the store rejects the hubs of a zone.
  Scenario Outline: A host compares its replica with a peer's: <own>, <peer>
    When a host with <own> hears of a peer with <peer>
    Then it pulls <pull>

    Examples:
      | own                | peer               | pull                          |
      | drain, other       | drain, other       | nothing                       |
      | other              | drain, other       | the changes since its horizon |
      | drain              | drain, other       | the changes since its horizon |
      | drain, other       | drain              | nothing                       |
      | drain, other       | other              | the changes since its horizon |
      | other              | added, other       | all objects                   |
      | other              | other of an earlier build | nothing                |

  Scenario Outline: A replica that still differs after a pull is compared as a whole: <after> s
    When a host with other hears of a peer with drain, other
    And the same again <after> s later
    Then it pulls <pull>

    Examples:
      | after | pull        |
      | 0.5   | nothing     |
      | 2.1   | all objects |

  # Guards against hubs that don't pass on what another host of their zone reads.
  Scenario Outline: All hosts get all changes, even if these overtake each other: <hosts> hosts, <watcher> watches
    Given <hosts> hosts in 6 zones, where <watcher> of one zone reads the store
    When changes reach the zones and overtake each other in 50 rounds
    Then all hosts have the same objects after each round

    Examples:
      | hosts | watcher                 |
      | 24    | the first hub           |
      | 24    | another host than a hub |
      | 30    | another host than a hub |

  Scenario: Hosts that got changes in part have the same objects after their heartbeats
    Given 24 hosts in 6 zones, where another host than a hub of one zone reads the store
    When a third of the messages with changes is lost in 50 rounds
    Then all hosts have the same objects after 6 heartbeats in each round
