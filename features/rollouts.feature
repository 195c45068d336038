Feature: Traffic moves to another version of a service by evidence

  # Replays an order to all hosts of a fleet in one process: calls a second over all
  # hosts, of two routes, one of which fails in 14 of 100 calls at the old version too.
  # Hosts hear each other 0.25 s late. A tenth of the calls and 50 more may go to a bad
  # version, and none 5 s after its 50th bad response.
  Scenario Outline: <hosts> hosts, the new version <manner>, <trouble>
    Given <hosts> hosts that serve <rate> calls a second
    When traffic is to move within <duration> s to a version that <manner>, while <trouble>
    Then the new version got no more calls than a bad one may, unless it is completed
    And no call was sent to it 5 s after its 50th bad response, unless it is completed
    And the state in the store is <state> before the deadline
    And each state was written once, and again only if the store has lost it

    Examples: Many hosts
      | hosts | rate | duration | manner                       | trouble              | state       |
      | 24    | 60   | 12       | is good                      | nothing else happens | completed   |
      | 63    | 138  | 12       | is good                      | nothing else happens | completed   |
      | 195   | 300  | 12       | is good                      | nothing else happens | completed   |
      | 24    | 60   | 12       | fails half of its calls      | nothing else happens | rolled_back |
      | 63    | 138  | 12       | fails half of its calls      | nothing else happens | rolled_back |
      | 195   | 300  | 12       | fails half of its calls      | nothing else happens | rolled_back |

    Examples: Manners
      | hosts | rate | duration | manner                       | trouble              | state       |
      | 63    | 138  | 12       | fails half of its calls from 5 s on | nothing else happens | rolled_back |
      | 63    | 138  | 12       | fails on one route           | nothing else happens | rolled_back |
      | 63    | 138  | 12       | is four times as slow        | nothing else happens | rolled_back |
      | 63    | 138  | 20       | crashes while it runs calls  | nothing else happens | completed   |
      | 63    | 138  | 12       | gets no calls                | nothing else happens | rolled_back |

    Examples: Failures
      | hosts | rate | duration | manner                       | trouble                       | state       |
      | 63    | 138  | 12       | is good                      | the writer is killed at 6 s   | completed   |
      | 63    | 138  | 12       | fails half of its calls      | the writer is killed at 2 s   | rolled_back |
      | 63    | 138  | 12       | is good                      | a third of the hosts is cut off | completed |
      | 63    | 138  | 12       | fails half of its calls      | a third of the hosts is cut off | rolled_back |
      | 63    | 138  | 16       | is good                      | the store is away from 2 to 9 s | completed |
      | 63    | 138  | 12       | fails half of its calls      | the store is away from 2 to 9 s | rolled_back |
      | 63    | 138  | 12       | is good                      | the store restores an older copy at 11.5 s | completed |

  Scenario Outline: An order that says <content> is <result>
    When an operator orders a rollout of the service shop: <content>
    Then the order of a rollout is <result>

    Examples:
      | content                                                     | result       |
      | {"service": "shop", "target": "v2", "duration_s": 12}       | without state |
      | {"service": "shop", "target": "v2", "duration_s": 12.5, "status": {"state": "running", "target": "v2"}} | running |
      | {"service": "shop", "target": "v2", "duration_s": 12, "status": {"state": "completed", "target": "v1"}} | without state |
      | {"service": "shop", "target": "v2", "duration_s": 12, "status": "odd"} | without state |
      | {"service": "shop", "target": "v2", "duration_s": 12, "status": {"state": ["odd"], "target": "v2"}} | refused |
      | {"service": "other", "target": "v2", "duration_s": 12}      | refused      |
      | {"service": "shop", "target": "", "duration_s": 12}         | refused      |
      | {"service": "shop", "target": "v2", "duration_s": 0}        | refused      |
      | {"service": "shop", "target": "v2", "duration_s": true}     | refused      |
      | {"service": "shop", "target": "v2", "duration_s": "12"}     | refused      |
      | {"service": "shop", "target": 2, "duration_s": 12}          | refused      |
      | {"service": "shop", "target": "v2"}                         | refused      |
      | "v2"                                                        | refused      |

  Scenario Outline: Traffic moves to a new version whose engines <manner>
    Given a shared platform whose operators order rollouts, with 2 edges
    When traffic is to move to engines that <manner>, and callers send orders
    Then the status in the store becomes <state>
    And orders go to <version> only from then on

    Examples:
      | manner                      | state       | version |
      | are good                    | completed   | v2      |
      | are many times as slow      | rolled_back | v1      |

  # Guards against an order that ended long ago and keeps calls from later versions.
  Scenario Outline: A release of v3 follows <seconds> s after a rollout of v2 that is <state>
    Given 1 hosts that serve 1 calls a second
    When a rollout is <state>, and engines of v3 start <seconds> s later
    Then calls may go to engines of <versions>

    Examples:
      | state       | seconds | versions   |
      | completed   | 1       | v2         |
      | completed   | 6       | v1, v2, v3 |
      | rolled_back | 1       | v1, v3     |
      | rolled_back | 61      | v1, v2, v3 |

  Scenario: Hosts whose settings allow no exposure ask the store for no orders
    Given a shared platform with 1 edge and 1 engine of each service
    Then the edge has no rollouts
