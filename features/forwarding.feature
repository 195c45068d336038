Feature: Calls on the shared platform reach engines as callers sent them

  Scenario Outline: A call is forwarded byte for byte: <call>
    Given a shared platform with 1 edge and 1 engine of each service
    When this call is sent: <call>
    Then the engine ran it once, with the caller's method, target and body
    And the caller got the engine's response with its attempt id and seal

    Examples:
      | call                                   |
      | GET /stock/reds?shade=3&shade=4        |
      | GET /stock/a%2fb/%7Ec;v=1/..%2e        |
      | GET /stock//double//                   |
      | POST /order/1 with 600 bytes           |
      | POST /order/2 with 600 bytes in chunks |
      | POST /order/3 with 0 bytes             |
      | PUT /stock/4 with 300000 bytes         |
      | DELETE /stock/5                        |
      | PATCH /stock/6 with 20 bytes in chunks |
      | POST /review/7 with 110000 bytes       |

  Scenario Outline: Headers that only the router may set are not forwarded from a caller: <header>
    Given a shared platform with 1 edge and 1 engine of each service
    When a stock lookup carries the header <header>: forged
    Then the engine received <received> in the header <header>

    Examples:
      | header                       | received           |
      | Sapphirerock-Tenant          | weavers            |
      | Sapphirerock-Expect-Instance | its instance id    |
      | Sapphirerock-Deadline-Ms     | the remaining time |
      | Sapphirerock-Kv-Backup       | nothing            |
      | Sapphirerock-Hold            | nothing            |
      | Sapphirerock-Pin-Ms          | nothing            |
      | Sapphirerock-Request-Urgency | nothing            |
      | Sapphirerock-Expect-Version  | nothing            |
      | Kv-From                      | nothing            |
      | Kv-Fetch                     | nothing            |
      | Authorization                | nothing            |
      | X-Of-The-Caller              | forged             |
      | Accept-Language              | forged             |

  Scenario Outline: A call that is invalid or not allowed is refused and not run: <call>
    Given a shared platform with 1 edge and 1 engine of each service
    When this call is sent: <call>
    Then it is answered <status> and no engine ran it

    Examples:
      | call                                      | status |
      | GET /nowhere/1                            | 404    |
      | GET /stock                                | 404    |
      | GET /stock/1 to another host              | 404    |
      | GET /stock/1 without a key                | 401    |
      | GET /stock/1 with an unknown key          | 401    |
      | POST /order/1 with 1100000 bytes          | 413    |
      | POST /order/1 with a length and in chunks | 400    |
      | POST /order/1 with two lengths            | 400    |

  Scenario: Requests on one connection are answered in order and run once each
    Given a shared platform with 1 edge and 1 engine of each service
    When a caller sends 20 lookups on one connection
    Then each lookup got its own response and ran once

  Scenario Outline: The connection of a slow or idle caller is closed: <manner>
    Given a shared platform with 1 edge and 1 engine of each service
    When a caller <manner>
    Then its connection is closed within <bound> seconds, not before <earliest>

    Examples:
      | manner                    | earliest | bound |
      | sends half a request head | 0.9      | 1.6   |
      | stays idle after a call   | 2.4      | 3.6   |

  Scenario Outline: A faulty response is never relayed as a valid one: <fault> to <call>
    Given a shared platform with 1 edge and 2 engines of each service
    When the next responses of the engines have the fault <fault>
    And this call is sent: <call>
    Then the response to the caller is <response>

    Examples:
      | fault          | call                       | response     |
      | truncated      | POST /order/1 with 9 bytes | 502          |
      | extra          | POST /order/1 with 9 bytes | 200 whole    |
      | unframed       | POST /order/1 with 9 bytes | 200 whole    |
      | unframed-reset | POST /order/1 with 9 bytes | 502          |
      | noise          | POST /order/1 with 9 bytes | 502          |
      | unsealed       | POST /order/1 with 9 bytes | 502          |
      | other          | POST /order/1 with 9 bytes | 502          |
      | failed         | POST /order/1 with 9 bytes | 500 failed   |
      | lost           | POST /order/1 with 9 bytes | 502          |
      | hung           | POST /order/1 with 9 bytes | 504          |
      | truncated once | GET /stock/1               | 200 anything |
      | noise once     | GET /stock/1               | 200 anything |
      | failed once    | GET /stock/1               | 200 anything |
      | failed         | GET /stock/1               | 500 failed   |
      | lost once      | GET /stock/1               | 200 anything |

  Scenario: An order runs at most once, whatever happens to its response
    Given a shared platform with 1 edge and 3 engines of each service
    When 40 orders are sent to engines that lose, corrupt and fail responses
    Then no order ran twice
    And no order ran that was answered as not run

  Scenario Outline: An engine receives the remaining time of a call: <timeout> ms
    Given a shared platform with 1 edge and 1 engine of each service
    When a caller with a timeout of <timeout> ms sends a stock lookup
    Then the engine received a remaining time of <least> to <most> ms

    Examples:
      | timeout | least | most |
      | 300     | 200   | 300  |
      | 5000    | 900   | 1000 |

  Scenario: A stream stops at its engine when the caller disconnects
    Given a shared platform with 1 edge and 1 engine of each service
    When a caller disconnects from a stream after 3 events
    Then the engine stops the run within 0.5 seconds

  Scenario: The metrics count calls, attempts and refusals, and measure the timing of streams
    Given a shared platform with 1 edge and 1 engine of each service
    When these calls are sent one after the other
      | call                       |
      | GET /stock/1               |
      | GET /nowhere/1             |
      | POST /order/1 with 9 bytes |
      | POST /review/1             |
    Then the edge's metrics have at least these values
      | metric                                                           | at least |
      | calls_total{kind="idempotent",status="200"}                      | 1        |
      | calls_total{kind="none",status="404"}                            | 1        |
      | calls_total{kind="non-idempotent",status="200"}                  | 1        |
      | calls_total{kind="streaming",status="200"}                       | 1        |
      | attempts_total{ending="answered",kind="idempotent"}              | 1        |
      | attempts_total{ending="complete",kind="streaming"}               | 1        |
      | refusals_total{problem="not-found"}                              | 1        |
      | first_event_seconds_count                                        | 1        |
      | pause_seconds_count                                              | 1        |
      | call_seconds_count{kind="streaming"}                             | 1        |
      | configuration_revision                                           | 1        |
      | engines                                                          | 2        |

  Scenario: An engine that fails its orders is excluded temporarily
    Given a shared platform with 1 edge and 3 engines of each service
    When 60 orders are sent while one engine fails every order it gets
    Then at most 12 orders are answered 500, and none ran twice
