Feature: Hosts that are cut off from all engines serve their callers through other hosts

  Scenario Outline: Callers of hosts that are cut off from all engines: <cut>, <manner>, <load>
    Given a shared platform with <edges> edges and 3 engines of each service in 3 zones
    When engines <manner> the connections of <cut> for 12 seconds, under <load>
    Then from 4 seconds on, calls are served at the first attempt at the cut hosts as often as at the others
    And after the cut all hosts serve their calls at the first attempt
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | edges | cut             | manner | load                                            |
      | 9     | a third of them | hang   | 30 calls a second                               |
      | 9     | a third of them | reset  | 30 calls a second                               |
      | 9     | a whole zone    | reset  | 30 calls a second                               |
      | 9     | a whole zone    | hang   | 20 calls and 4 streams a second                 |
      | 9     | two thirds      | hang   | 20 calls and 4 streams a second                 |
      | 9     | two thirds      | reset  | 20 calls and 4 streams a second                 |

  Scenario Outline: Hosts that are cut off are served while the relaying hosts have trouble: <trouble>
    Given a shared platform with 9 edges and 3 engines of each service in 3 zones
    When engines hang the connections of two thirds for 16 seconds while <trouble>, beside 20 calls and 4 streams a second
    Then from 4 seconds on, nine in ten calls are served at the first attempt at the cut hosts
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | trouble                                  |
      | the other hosts restart in turn          |
      | one of the other hosts is killed         |
      | one of the other hosts freezes for 4 s   |

  Scenario Outline: Callers of a host that is cut off from some engines: <engines>, <manner>
    Given a shared platform with 3 edges and 3 engines of each service in 3 zones
    When one host is cut off from <engines>, which <manner> its connections, for 10 seconds under 15 calls and 3 streams a second
    Then from 4 seconds on, calls are served at the first attempt at the cut hosts as often as at the others
    And after the cut all hosts serve their calls at the first attempt
    And no call ran twice, was joined from two answers, or was refused after it ran

    Examples:
      | engines                   | manner |
      | two engines of a service  | hang   |
      | all engines of a service  | reset  |
      | one engine of each service | hang  |

  Scenario Outline: Calls at an engine that falls silent for <seconds> s get its answers: <kind>
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When the engines fall silent for <seconds> s while 6 <kind> run
    Then all of them get the engine's answer, and each ran once

    Examples:
      | seconds | kind    |
      | 0.7     | orders  |
      | 0.2     | orders  |
      | 0.2     | lookups |
