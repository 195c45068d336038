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
