Feature: An order runs at most once, and its outcome is told truthfully

  Background:
    Given two zones with 2 routers each, 2 engines and 2 plain services

  Scenario Outline: <fault>
    Given this fault: <fault>
    When one order key is sent through <through>
    Then the order ran at most once
    And no key that was told not-run ever ran
    And the last answer says <outcome>

    Examples: Upstreams
      | fault                                             | through            | outcome |
      | none                                              | every host at once | ran     |
      | none                                              | every host in turn | ran     |
      | the upstreams are killed                          | one host           | not-run |
      | the nearest upstream is killed                    | one host           | ran     |
      | the upstream is killed while an order runs        | one host           | unknown |
      | none                                              | a host, then another after the upstreams were killed | ran |
      | the upstreams lose the next answer                | every host in turn | unknown |
      | the upstreams lose the next answer to a PUT       | every host in turn | unknown |

    Examples: The platform
      | fault                                             | through            | outcome |
      | the platform loses the next answer                | one host           | ran     |
      | the platform loses the next answers               | every host at once | ran     |
      | the platform is slow                              | every host at once | ran     |
      | the platform is down                              | every host in turn | not-run |
      | the platform answers stale reads                  | every host in turn | ran     |
      | the platform is slow, then down                   | every host at once | any     |

    Examples: Routers
      | fault                                             | through                                  | outcome |
      | none                                              | a host that is killed while it runs      | unknown |
      | none                                              | a host that is paused while it claims    | any     |
      | the platform is slow                              | a host that is killed while it claims    | any     |

  Scenario: With the platform down, orders are refused at once and all else goes on
    Given this fault: the platform is down
    When one order key is sent through one host
    Then the answer came within 2 seconds with Retry-After
    And a check and a generation are served by every host

  Scenario: A key that was refused while the platform was down can be tried again
    Given this fault: the platform is down
    When one order key is sent through every host in turn
    And the platform is up again
    And the same order key is sent again until it ran
    Then the order ran exactly once
