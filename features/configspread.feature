Feature: A large configuration reaches all hosts of a zone over a narrow link

  Scenario: A configuration of 1400 routes takes few bytes for each host
    Given a shared platform with 4 edges and 1 engine of each service in 1 zone
    When the configuration grows by 1400 routes
    Then each edge has it in force, and got it in at most 89 kB from its peers

  Scenario Outline: A packed message that is <fault> is ignored
    Given a packed message that is <fault>
    Then it can't be unpacked

    Examples:
      | fault        |
      | cut off      |
      | no zlib data |
      | too large    |
      | no message   |

  Scenario Outline: A host that <reads> packed messages gets a large change <form>
    Given a host that <reads> packed messages
    When a large change is sent to it
    Then it gets the change <form>

    Examples:
      | reads                 | form   |
      | has said that it reads | packed |
      | hasn't said so of      | plain  |

  Scenario Outline: A change that came from <host> is sent to hosts that may lack it
    Given a host with peers in its zone and in two others
    When it gets a change from <host>
    Then it sends the change to <receivers>

    Examples:
      | host | receivers        |
      | a1   | b1 and c1        |
      | a2   | a1 and b1 and c1 |
      | b1   | a1 and a2 and c1 |

  Scenario: Entries of hosts that start together are sent on together
    Given a host that gathers changes for 0.05 s before it sends them on
    When it gets 30 changes from a1, one after the other
    Then it sends one message with 30 changes to b1
