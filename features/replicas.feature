Feature: Configuration and engines reach every host, whatever the store does

  Scenario Outline: A change of the configuration is in force within <bound> seconds: <trouble>
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When the store has this trouble: <trouble>
    And the operator adds a route
    Then every edge serves the new route within <bound> seconds
    And no edge ever went back to an older configuration

    Examples:
      | trouble                                        | bound |
      | none                                           | 1     |
      | it turns the watchers away, busy               | 2     |
      | it turns the watchers away, many               | 2     |
      | it turns the watchers away, reset              | 2     |
      | it turns the watchers away, silent             | 5     |
      | it turns all but one edge away, silent         | 6     |
      | it has forgotten its history                   | 2     |
      | it answers slowly                              | 2     |
      | the watchers are killed                        | 3     |
      | the watchers are paused                        | 6     |
      | an edge has just been restarted                | 3     |

  Scenario: After a takeover from the watchers every change is in force at once
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When the store has this trouble: it turns the watchers away, silent
    And 3 seconds pass
    Then each of 5 changes a second apart is in force everywhere within 0.5 seconds

  Scenario Outline: An engine that <leaves> gets no work within <bound> seconds: <trouble>
    Given a shared platform with 4 edges and 2 engines of each service in 2 zones
    When the store has this trouble: <trouble>
    And an engine <leaves>
    Then no edge sends it work later than <bound> seconds after

    Examples:
      | leaves                     | trouble                            | bound |
      | says that it is draining   | none                               | 1     |
      | is taken out of the store  | none                               | 1     |
      | says that it is draining   | it turns the watchers away, busy   | 2     |
      | says that it is draining   | it turns the watchers away, silent | 5     |
      | is taken out of the store  | it has forgotten its history       | 2     |

  Scenario Outline: A key that is taken away stops working: <trouble>
    Given a shared platform with 4 edges and 1 engine of each service in 2 zones
    When the store has this trouble: <trouble>
    And the operator replaces the key
    Then every edge refuses the old key and takes the new one within <bound> seconds

    Examples:
      | trouble                            | bound |
      | none                               | 1     |
      | it turns the watchers away, silent | 5     |

  Scenario: A host that starts while the store is down learns all from its peers
    Given a shared platform with 3 edges and 1 engine of each service in 1 zone
    When the store is down and an edge is restarted
    Then the restarted edge is ready and serves within 3 seconds

  Scenario: A host that knows no configuration answers 503 until there is one
    Given a shared platform with 1 edge that starts while the store is down
    Then the edge is not ready and answers 503 with a time to come back
    When the store is back
    Then the restarted edge is ready and serves within 3 seconds

  Scenario: All hosts start again and find everything in the store
    Given a shared platform with 3 edges and 1 engine of each service in 1 zone
    When all edges are killed and started again
    Then the restarted edge is ready and serves within 3 seconds

  Scenario Outline: An entry of engines that is <malformed> names none and harms none
    Given a shared platform with 1 edge and 1 engine of each service
    When an entry of engines is <malformed>
    Then calls are served, and the entry was logged and ignored

    Examples:
      | malformed                     |
      | a text                        |
      | without a service             |
      | without an address            |
      | with an address of words      |
      | with slots of another type    |
      | in a state that is not known  |
      | with models of another type   |

  Scenario: An entry with a field that is not known is taken
    Given a shared platform with 1 edge and 1 engine of each service
    When an engine's entry gets a field that is not known
    Then calls are served

  Scenario: Entries that lapsed while the store was away come back or are gone
    Given a shared platform with 1 edge and 2 engines of each service
    When the store is away for 3 seconds and entries lapse, one of them for good
    Then calls are served all the while
    And the engine without an entry gets no work 3 seconds after the return

  Scenario: An engine that comes back under its id is told from the one before
    Given a shared platform with 1 edge and 1 engine of each service
    When the engines crash and come back under their ids
    Then calls are served again within 2 seconds

  Scenario: An address that another service's engine took over gets no foreign call
    Given a shared platform with 1 edge and 2 engines of each service
    When an engine is replaced at its address by one of another service, unseen
    Then calls are served
    And no engine ran a call of a service that is not its own

  Scenario: A configuration that cannot be read changes nothing
    Given a shared platform with 1 edge and 1 engine of each service
    When the operator writes a configuration that cannot be read
    Then calls are served, and the configuration was logged and refused
