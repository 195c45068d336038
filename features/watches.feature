Feature: Watchers gather changes that come in a row

  # Replays a row of changes in the store, at equal intervals, against one watcher in
  # each zone. A watcher sends what it gets to all others.
  Scenario Outline: <changes> changes in <duration> s reach watchers in <zones> zones
    When watchers in <zones> zones wait for <changes> changes in <duration> s
    Then they call the store at most <calls> times
    And all of them know each change within 0.6 s, and half of the changes within <median> s

    Examples: One change is known at once
      | zones | changes | duration | calls | median |
      | 3     | 1       | 1        | 3     | 0.0    |
      | 6     | 1       | 1        | 6     | 0.0    |

    Examples: A zone's engines are lost and register again
      | zones | changes | duration | calls | median |
      | 1     | 60      | 2        | 9     | 0.25   |
      | 3     | 60      | 2        | 25    | 0.15   |
      | 6     | 60      | 2        | 50    | 0.1    |

    Examples: A rolling restart
      | zones | changes | duration | calls | median |
      | 3     | 100     | 20       | 210   | 0.15   |
      | 6     | 100     | 20       | 420   | 0.1    |
