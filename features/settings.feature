Feature: Accepted settings take effect on every host and never revert

  Scenario: An operator's token writes to its own subtree only
    Given two linked zones with 1 router each
    And operator design of the subtree settings/telar/design/ and operator trade of the subtree settings/telar/trade/
    Then these writes are answered with these statuses
      | token  | path                                 | status |
      | design | telar/design/services/critique       | 200    |
      | trade  | telar/trade/services/orders          | 200    |
      | design | telar/trade/services/orders          | 403    |
      | trade  | telar/design/services/critique       | 403    |
      | design | telar/designs                        | 403    |
      | design | telar                                | 403    |
      | design | telar/operators                      | 403    |
      | design | telar/design/../trade/services/x     | 400    |
      | design | telar/design/%2e%2e/trade/services/x | 400    |
      | design | telar/design//services/x             | 400    |
      | design | telar/design/services/x%2f..%2f..%2f | 400    |
      | design | telar/design/Services/X              | 400    |
      | nobody | telar/design/services/x              | 401    |
    And routing to a service that does not exist is refused and not applied

  Scenario: Of two simultaneous changes one is accepted and one gets a version conflict
    Given two linked zones with 1 router each
    When two operators change one object 10 times at the same moment
    Then each time one change was accepted and the other got a version conflict

  Scenario: A change that is sent again after a lost response is applied once
    Given two linked zones with 1 router each
    When a change is sent and the platform loses its response
    And the same change is sent again with the same change id
    Then the object was written once

  Scenario Outline: A change is in force within 4 seconds: <fault>
    Given two linked zones with 2 routers each
    When this fault occurs: <fault>
    And a change is accepted
    Then it is in force within 4 seconds on <hosts>
    And no host ever had an older version after a newer one

    Examples:
      | fault                                         | hosts      |
      | none                                          | every host |
      | the open store watches go silent              | every host |
      | a host was just restarted                     | every host |
      | the platform's reads are a second old         | every host |
      | zone-b is cut off from the platform           | every host |
      | zone-a and zone-b are cut off from each other | every host |
      | a host is paused                              | all but r4 |

  Scenario: A zone that is cut off serves with its last settings and catches up afterwards
    Given two linked zones with 2 routers each
    When this fault occurs: zone-b is cut off from everything
    And a change is accepted
    Then it is in force within 4 seconds on the hosts of zone-a
    And the hosts of zone-b serve with the previous version
    When the cuts are healed
    Then it is in force within 4 seconds on every host
    And no host ever had an older version after a newer one

  Scenario: A host that starts while the platform is down gets its peers' version
    Given two linked zones with 2 routers each
    When a change is accepted
    And this fault occurs: the platform is down
    And r3 is killed and started again
    Then it is in force within 4 seconds on every host
    And every host serves a generation

  Scenario: A host that starts with stale reads gets its peers' version
    Given two linked zones with 2 routers each
    When a change is accepted
    And this fault occurs: the platform's reads are an hour old
    And r3 is killed and started again
    Then it is in force within 4 seconds on every host

  Scenario: Applying a tree with --wait names the hosts that lack it
    Given two linked zones with 2 routers each
    When this fault occurs: a host is paused
    Then applying a tree with --wait fails and names r4
