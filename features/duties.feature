Feature: Duties go to hosts that have the capacity for them

  Scenario Outline: The capacity class of a host: <cores> cores, <memory> MB, <link> Mbit/s
    Given a host with <cores> cores, <memory> MB and <link> Mbit/s
    Then its capacity class is <class>

    Examples:
      | cores | memory | link | class |
      | 0.516 | 128    | 20   | 0     |
      | 2.15  | 552    | 200  | 2     |
      | 2.15  | 552    | 20   | 0     |
      | 1.07  | 150    | 1000 | 0     |
      | 1.07  | 300    | 1000 | 1     |
      | 0.1   | 64     | 5    | 0     |
      | 0     | 0      | 0    | 0     |

  Scenario Outline: Large hosts hold all duties of a fleet of <hosts> hosts
    Given a fleet of <hosts> hosts in 6 zones, 3 of them large in each
    Then only large hosts are hubs, watchers and owners, and all hosts agree on them

    Examples:
      | hosts |
      | 24    |
      | 96    |
      | 384   |

  Scenario: Small hosts take the duties of a zone whose large hosts have ended
    Given a fleet of 24 hosts in 6 zones, 3 of them large in each
    When the large hosts of a zone end
    Then a small host of that zone is its first hub

  Scenario Outline: A host that <tells> its capacity <after> s after it became known <effect>
    Given a fleet of 24 hosts in 6 zones, 3 of them large in each
    When a host that <tells> its capacity becomes known, and <after> s pass
    Then <effect>

    Examples:
      | tells         | after | effect                                        |
      | tells         | 3     | only large hosts are hubs                     |
      | does not tell | 1     | only large hosts are hubs                     |
      | does not tell | 3     | hubs are chosen as if all hosts were equal    |
