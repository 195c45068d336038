Feature: Messages on the load of engines stay few while hosts start and stop

  Scenario: Loads of another zone do not circulate while hosts disagree about the hubs
    Given two hosts of a zone that each take only themselves for a hub
    When the hub of another zone sends its loads to both
    Then each host receives at most 2 messages, and knows the loads

  Scenario Outline: A host gets one message on loads an interval, whatever the size of the fleet: <hosts> hosts
    Given a fleet of <hosts> hosts in 6 zones that share loads
    When the hosts place and end streams for 2 seconds
    Then a host that is no hub gets at most 15 messages a second
    And each host knows the load that all others have placed

    Examples:
      | hosts |
      | 24    |
      | 96    |
      | 384   |

  Scenario: Hosts know all loads after their hub has ended
    Given a fleet of 48 hosts in 6 zones that share loads
    When the hosts place and end streams for 1 seconds
    And the first hub of a zone ends, and the others go on for 9 seconds
    Then each host knows the load that all others have placed
