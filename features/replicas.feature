Feature: Configuration and engine registrations reach every host, even when the store fails

  Scenario Outline: A configuration change takes effect within <bound> seconds: <fault>
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When this fault of the shared platform occurs: <fault>
    And the operator adds a route
    Then every edge serves the new route within <bound> seconds
    And no edge ever reverted to an older configuration

    Examples:
      | fault                                       | bound |
      | none                                        | 1     |
      | the store rejects the watchers (busy)       | 2     |
      | the store rejects the watchers (many)       | 2     |
      | the store rejects the watchers (reset)      | 2     |
      | the store rejects the watchers (silent)     | 5     |
      | the store rejects all but one edge (silent) | 6     |
      | the store has dropped its change history    | 2     |
      | the store responds slowly                   | 2     |
      | the watchers are killed                     | 3     |
      | the watchers are paused                     | 6     |
      | an edge has just been restarted             | 3     |

  Scenario: After other hosts take over from the watchers, changes take effect without delay
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When this fault of the shared platform occurs: the store rejects the watchers (silent)
    And 3 seconds pass
    Then each of 5 changes, a second apart, takes effect on every edge within 0.5 seconds

  Scenario Outline: An engine that <change> gets no work after <bound> seconds: <fault>
    Given a shared platform with 4 edges and 2 engines of each service in 2 zones
    When this fault of the shared platform occurs: <fault>
    And an engine <change>
    Then no edge sends it work more than <bound> seconds later

    Examples:
      | change                      | fault                                    | bound |
      | reports that it is draining | none                                     | 1     |
      | is removed from the store   | none                                     | 1     |
      | reports that it is draining | the store rejects the watchers (busy)    | 2     |
      | reports that it is draining | the store rejects the watchers (silent)  | 5     |
      | is removed from the store   | the store has dropped its change history | 2     |

  Scenario Outline: A revoked key stops working: <fault>
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When this fault of the shared platform occurs: <fault>
    And the operator replaces the key
    Then every edge refuses the old key and accepts the new one within <bound> seconds

    Examples:
      | fault                                   | bound |
      | none                                    | 1     |
      | the store rejects the watchers (silent) | 5     |

  Scenario: A host that starts while the store is down gets all data from its peers
    Given a shared platform with 3 edges and 1 engine of each service in 1 zone
    When the store is down and an edge is restarted
    Then the restarted edge is ready and serves within 3 seconds

  Scenario: A host without a configuration answers 503 until it gets one
    Given a shared platform with 1 edge that starts while the store is down
    Then the edge is not ready and answers 503 with a Retry-After header
    When the store is back
    Then the restarted edge is ready and serves within 3 seconds

  Scenario: All hosts restart and load all data from the store
    Given a shared platform with 3 edges and 1 engine of each service in 1 zone
    When all edges are killed and restarted
    Then the restarted edge is ready and serves within 3 seconds

  Scenario Outline: A malformed engine registration is ignored: <malformed>
    Given a shared platform with 1 edge and 1 engine of each service
    When a malformed engine registration is stored: <malformed>
    Then calls are served, and the registration was logged and ignored

    Examples:
      | malformed                   |
      | plain text                  |
      | without a service           |
      | without a version           |
      | with a version of another type |
      | without an address          |
      | with an invalid address     |
      | with slots of another type  |
      | with an unknown state       |
      | with models of another type |

  Scenario: A registration with an unknown field is accepted
    Given a shared platform with 1 edge and 1 engine of each service
    When an engine's registration gets an unknown field
    Then calls are served

  Scenario: Registrations that expire while the store is down are restored or dropped
    Given a shared platform with 1 edge and 2 engines of each service
    When the store is down for 3 seconds and registrations expire, one of them permanently
    Then calls are served throughout
    And the engine without a registration gets no work 3 seconds after the store is back

  Scenario: An engine that restarts with the same id is told apart from its previous instance
    Given a shared platform with 1 edge and 1 engine of each service
    When the engines crash and restart with the same ids
    Then calls are served again within 2 seconds

  # Guards against the loss of a running engine whose former entry comes later in a list.
  Scenario Outline: A host that starts beside entries of engines' former starts serves calls: <names>
    Given a shared platform with 1 edge and 1 engine of each service
    When the edge is restarted beside former entries of the engines with <names>
    Then calls are served again within 2 seconds
    When the former entries expire
    Then calls are served

    Examples:
      | names                            |
      | ids that sort before the present |
      | ids that sort after the present  |

  Scenario: An engine that takes over the address of another service's engine gets no calls of that service
    Given a shared platform with 1 edge and 2 engines of each service
    When an engine is replaced at its address by an unregistered one of another service
    Then calls are served
    And no engine ran a call of another service

  Scenario: A malformed configuration changes nothing
    Given a shared platform with 1 edge and 1 engine of each service
    When the operator writes a malformed configuration
    Then calls are served, and the configuration was logged and refused

  Scenario: After the store came back from an older copy, no host reverts and changes take effect
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When the operator adds a route
    And the store comes back from a copy of before the route
    Then every edge still serves the new route after 3 seconds
    And a further route takes effect on every edge within 3 seconds
    And no edge ever reverted to an older configuration

  Scenario: After the store came back from an older copy, hosts register again
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When the store comes back from a copy of before the edges started
    Then the entries of all edges are in the store within 4 seconds

  Scenario Outline: A revision of an earlier era of the store is never used: <call>
    Given a client of a store that came back from an older copy
    When the client makes this call with a revision of before: <call>
    Then the call fails as <failure>, and the store is unchanged

    Examples:
      | call    | failure       |
      | watch   | HistoryGone   |
      | replace | StoreConflict |
      | delete  | StoreConflict |
