Feature: An order runs at most once, and its reported outcome is correct

  Background:
    Given two zones with 2 routers each, 2 engines and 2 plain services

  Scenario Outline: An order through <hosts> under this fault: <fault>
    Given this fault: <fault>
    When one order key is sent through <hosts>
    Then the order ran at most once
    And no order reported as not-run ever ran
    And the last response reports <outcome>

    Examples: Upstreams
      | fault                                         | hosts                                                | outcome |
      | none                                          | every host at once                                   | ran     |
      | none                                          | every host in turn                                   | ran     |
      | the upstreams are killed                      | one host                                             | not-run |
      | the nearest upstream is killed                | one host                                             | ran     |
      | the upstream is killed while an order runs    | one host                                             | unknown |
      | none                                          | a host, then another after the upstreams were killed | ran     |
      | the upstreams lose the next response          | every host in turn                                   | unknown |
      | the upstreams lose the next response to a PUT | every host in turn                                   | unknown |

    Examples: The platform
      | fault                                 | hosts              | outcome |
      | the platform loses the next response  | one host           | ran     |
      | the platform loses the next responses | every host at once | ran     |
      | the platform is slow                  | every host at once | ran     |
      | the platform is down                  | every host in turn | not-run |
      | the platform's reads are stale        | every host in turn | ran     |
      | the platform is slow, then down       | every host at once | any     |

    Examples: Routers
      | fault                | hosts                                         | outcome |
      | none                 | a host that is killed while the order runs    | unknown |
      | none                 | a host that is paused while it claims the key | any     |
      | the platform is slow | a host that is killed while it claims the key | any     |

  Scenario: With the platform down, orders are refused at once and other calls are served
    Given this fault: the platform is down
    When one order key is sent through one host
    Then the order was refused within 2 seconds with Retry-After
    And a check and a generation are served by every host

  Scenario: An order refused while the platform was down can be sent again
    Given this fault: the platform is down
    When one order key is sent through every host in turn
    And the platform is up again
    And the same order key is sent again until it ran
    Then the order ran exactly once
