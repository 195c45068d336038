Feature: An engine that is silent for a moment and goes on costs no call

  Scenario Outline: Calls at sound engines that stand still: <engines>, <seconds> s, <beside>
    Given a shared platform with 6 edges and 3 engines of each service, with room for 48 streams each
    When <engines> stand still for <seconds> s every 3.7 s for 15 s, under 8 calls and 8 streams a second, <beside>
    Then every stream arrives whole, and every call gets an engine's answer
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | engines           | seconds | beside                         |
      | one of them       | 1.2     | nothing else happens           |
      | two thirds        | 0.6     | nothing else happens           |
      | all of them       | 1.2     | nothing else happens           |
      | all of them       | 1.2     | a configuration every 0.5 s    |
      | all model engines | 1.2     | a configuration every 0.5 s    |

  Scenario Outline: Streams at sound engines that stand still while there is little room: <engines>, <seconds> s
    Given a shared platform with 6 edges and 3 engines of each service, with room for 16 streams each
    When <engines> stand still for <seconds> s every 3.7 s for 15 s, under 8 calls and 8 streams a second, a configuration every 0.5 s
    Then every stream arrives whole or is refused with a time to come back, and every call gets an engine's answer
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | engines           | seconds |
      | one of them       | 1.2     |
      | two thirds        | 0.6     |
      | all of them       | 1.2     |

  Scenario Outline: A dead engine is found silent although it gets new calls: <calls>
    Given a host, and an engine that never answers
    When the host sends it <calls>
    Then it is marked silent within 0.7 s

    Examples:
      | calls                |
      | one call             |
      | a call every 0.05 s  |
      | a call every 0.15 s  |

  Scenario: It is known whether a backup answers when its engine is found silent
    Given a host, and an engine that never answers
    When the host has an attempt there, with a backup that answers after 0.05 s
    Then the backup has answered when the attempt hears that its engine is silent

  Scenario Outline: A silent engine is probed by hosts that need it: <need>
    Given a host, and an engine that never answers
    When it is marked silent at the host for 0.8 s, and <need>
    Then the host probes it <times>

    Examples:
      | need                        | times         |
      | no call needs it            | not at all    |
      | an attempt is running there | again         |
      | a call waits for it         | again         |
