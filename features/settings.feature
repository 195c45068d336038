Feature: Settings accepted from any team are in force everywhere and never revert

  Scenario: A team's token writes its own subtree alone
    Given two linked zones with 1 router each
    And operators design below settings/telar/design/ and trade below settings/telar/trade/
    Then these writes are answered
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
    And a service that routing refers to nowhere is refused, and nothing is applied

  Scenario: Two operators who race get one winner and one clear conflict
    Given two linked zones with 1 router each
    When two operators change one object 10 times at the same moment
    Then each time one change was accepted and the other was told the version

  Scenario: A change whose answer was lost is applied once
    Given two linked zones with 1 router each
    When a change is sent whose answer the platform loses
    And the same change is sent again under its id
    Then the object was written once

  Scenario Outline: A change is in force within 4 seconds: <trouble>
    Given two linked zones with 2 routers each
    When there is this trouble: <trouble>
    And a change is accepted
    Then it is in force within 4 seconds on <hosts>
    And no host ever had an older version after a newer one

    Examples:
      | trouble                                      | hosts         |
      | none                                         | every host    |
      | the open watches go silent                   | every host    |
      | a host was just restarted                    | every host    |
      | the platform answers stale reads of a second | every host    |
      | zone-b is cut off from the platform          | every host    |
      | zone-a and zone-b are cut off from each other| every host    |
      | a host is paused                             | all but r4    |

  Scenario: A zone that is cut off serves with what it has and catches up after
    Given two linked zones with 2 routers each
    When there is this trouble: zone-b is cut off from everything
    And a change is accepted
    Then it is in force within 4 seconds on the hosts of zone-a
    And the hosts of zone-b serve with the version before
    When the cuts are healed
    Then it is in force within 4 seconds on every host
    And no host ever had an older version after a newer one

  Scenario: A host that starts while the platform is down takes its peers' version
    Given two linked zones with 2 routers each
    When a change is accepted
    And there is this trouble: the platform is down
    And r3 is killed and started again
    Then it is in force within 4 seconds on every host
    And every host serves a generation

  Scenario: A host that starts from a stale platform goes to its peers' version
    Given two linked zones with 2 routers each
    When a change is accepted
    And there is this trouble: the platform answers stale reads of an hour
    And r3 is killed and started again
    Then it is in force within 4 seconds on every host

  Scenario: Applying a tree tells which hosts lack it
    Given two linked zones with 2 routers each
    When there is this trouble: a host is paused
    Then applying a tree with --wait fails and names r4
