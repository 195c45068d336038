Feature: Decisions are correct for single cases and under load replayed on a simulated clock

  Scenario Outline: <policy> serves more calls in time than <baseline> under <pattern>
    When the load pattern <pattern> is replayed with <policy> and with <baseline>
    Then with <policy> the share of calls served in time is at least <gain> higher

    Examples:
      | pattern            | policy              | baseline       | gain  |
      | zones-lost-in-turn | least-prompt-tokens | no copies      | 0.08  |
      | zones-lost-in-turn | least-prompt-tokens | round-robin    | 0.02  |
      | overload           | least-prompt-tokens | no admission   | 0.08  |
      | hot-organisation   | least-prompt-tokens | no admission   | 0.05  |
      | herd-returns       | two-choices         | round-robin    | 0.02  |
      | failing-engines    | least-prompt-tokens | no health      | 0.05  |
      | 96-hosts           | rivals              | least-prompt-tokens | 0.1 |
      | 195-hosts-zone-lost | rivals             | least-prompt-tokens | 0.1 |
      | herd-returns       | rivals              | least-prompt-tokens | 0.05 |
      | 24-hosts-uneven-engines  | rivals        | no pace        | 0.01  |
      | 82-hosts-uneven-engines  | rivals        | no pace        | 0.01  |
      | 195-hosts-uneven-engines | rivals        | no pace        | 0.01  |

  Scenario Outline: Little prefill work is wasted: <policy> under <pattern>
    When the load pattern <pattern> is replayed with <policy> and with <baseline>
    Then <policy> wastes at most <ratio> times as many prefilled tokens as <baseline>

    Examples:
      | pattern            | policy              | baseline     | ratio |
      | zones-lost-in-turn | least-prompt-tokens | no copies    | 0.2   |
      | overload           | least-prompt-tokens | no admission | 0.8   |
      | mixed-sizes        | least-prompt-tokens | no admission | 0.6   |

  Scenario: An organisation that floods the engines does not starve the others
    When the load pattern hot-organisation is replayed once with least-prompt-tokens
    Then at least 0.9 of the calls of usual are served

  Scenario: Large prompts are served as often as small ones
    When the load pattern mixed-sizes is replayed once with least-prompt-tokens
    Then calls of 20000 tokens or more are served at least 0.9 times as often as all calls

  Scenario: Streams that are taken up together go on as often as new ones begin
    When the load pattern take-ups is replayed with least-prompt-tokens and with no first engine
    Then with least-prompt-tokens streams taken up go on at least 0.5 times as often as new ones begin
    And new streams begin at least as often as with no first engine

  Scenario Outline: First events come in time although <pattern> place calls by old views
    When the load pattern <pattern> is replayed once with rivals
    Then 95 in 100 calls wait at most 4.5 s for their first event

    Examples:
      | pattern   |
      | 24-hosts  |
      | 195-hosts |

  Scenario: The same seed gives the same replay
    When the load pattern burst is replayed twice with least-prompt-tokens
    Then both replays are the same

  Scenario: The replay command prints a table and draws a plot
    When the replay command compares policies under zones-lost-in-turn and draws a plot
    Then it prints a row for each policy, and the plot shows both

  Scenario Outline: The replay command refuses <argument>
    When the replay command is run with <argument>
    Then it fails and says "<text>"

    Examples:
      | argument          | text                 |
      | tide              | 'tide' is not one of |
      | burst --seeds 0   | at least 1 is needed |
      | burst --policy no | 'no' is not one of   |

  Scenario Outline: The recovery step after an attempt of a stream has ended: <case>
    Given a stream whose attempt ended with the outcome <outcome>, <case>
    Then the next step is to <step>

    Examples:
      | outcome    | case                                 | step                   |
      | lost       | with a KV copy                       | continue from the copy |
      | lost       | without a KV copy                    | send again             |
      | not run    | with a KV copy                       | send again             |
      | not run    | of a call that must run at most once | send again             |
      | lost       | of a call that must run at most once | give up                |
      | failed     | of a call that must run at most once | give up                |
      | failed     | without a KV copy                    | send again             |
      | failed     | after the maximum number of failures | give up                |
      | lost       | after six lost engines               | give up                |
      | not run    | after ten attempts                   | give up                |
      | lost       | of a blocked call                    | give up                |
      | time is up | with a KV copy                       | give up                |
      | no engine  | without a KV copy                    | give up                |
      | silent     | with a KV copy                       | continue from the copy |
      | silent     | without a KV copy                    | send again             |
      | silent     | on as many engines as may run it     | give up                |
      | silent     | on one engine less than may run it   | send again             |
      | silent     | after two failures, on three engines | give up                |
      | lost       | on as many engines as may run it     | give up                |

  Scenario Outline: The estimated duration of a long stream follows the longest streams: <case>
    When streams end after <durations> seconds, <times> times each
    Then a long stream is estimated to take <least> to <most> seconds

    Examples:
      | case          | durations    | times | least | most |
      | no stream yet | 9            | 0     | 9     | 9    |
      | all equal     | 3            | 200   | 3     | 3.2  |
      | mixed         | 3 4 5 6 7 8  | 100   | 7     | 8    |
      | one long      | 3 3 3 3 3 12 | 100   | 9     | 12   |

  Scenario Outline: Suspect requests that lost the same engines never share an engine: <case>
    Given <suspects> suspect requests that lost the same two engines, and <engines> other engines
    When <hosts> hosts choose an engine for each suspect request from their own views of the load
    Then no two suspect requests share an engine, and all hosts choose the same engines

    Examples:
      | case            | suspects | engines | hosts |
      | two suspects    | 2        | 4       | 2     |
      | five suspects   | 5        | 6       | 8     |
      | no spare engine | 3        | 3       | 3     |

  Scenario: A single suspect request runs on the engine with the fewest runs
    Given 1 suspect requests that lost the same two engines, and 5 other engines
    When 1 hosts choose an engine for each suspect request from their own views of the load
    Then the chosen engine has the fewest runs

  Scenario Outline: An engine that fails more often than its peers is excluded: <case>
    Given engines with these failures out of their latest calls: <failures>
    Then these engines are excluded: <excluded>

    Examples:
      | case                      | failures            | excluded |
      | none fails                | 0/9 0/9 0/9         | none     |
      | all fail equally          | 3/9 4/9 3/9         | none     |
      | one fails half            | 5/9 0/9 1/9         | 1        |
      | one call is too few       | 1/1 0/9 0/9         | none     |
      | at most half are excluded | 9/9 9/9 9/9 0/9     | none     |
      | two of five               | 9/9 9/9 0/9 0/9 0/9 | 1 2      |
      | the only engine           | 9/9                 | none     |
      | failures long ago         | 9/9@30 0/9 0/9      | none     |

  Scenario Outline: A crash counts as evidence against a call or not: <case>
    Given a crash of an engine that runs a call, <case>
    Then the crash <counts>

    Examples:
      | case                                                            | counts          |
      | and no other crash                                              | is evidence     |
      | and one in the same zone 0.2 s before                           | is not evidence |
      | and one in the same zone 0.2 s after                            | is not evidence |
      | and one in the same zone 2 s before                             | is evidence     |
      | and one in another zone at the same time                        | is evidence     |
      | and one in the same zone 0.2 s before, running the same call    | is evidence     |
      | and one that two hosts observed, one of them with the same call | is evidence     |

  Scenario Outline: A generation starts, waits or is refused: <case>
    Given a generation of 9000 tokens, <case>
    Then the admission verdict is <verdict>

    Examples:
      | case                                                | verdict |
      | with 30000 tokens free                              | start   |
      | with 9000 tokens free                               | wait    |
      | with 2000 tokens free                               | wait    |
      | with 30000 tokens free and others queued ahead      | wait    |
      | with 2000 tokens free and 5 seconds left            | refuse  |
      | larger than any engine                              | start   |
      | without any engine                                  | wait    |
      | without any engine for longer than the maximum wait | refuse  |

  Scenario Outline: The retry budget of one host: <calls> calls on <hosts> hosts
    Given a service with a retry budget of 0.8 per call and 150 more in 10 s
    When <calls> calls reach one of <hosts> hosts in 10 s
    Then it may make <retries> retries, and <resumptions> more to resume streams

    Examples:
      | calls | hosts | retries | resumptions |
      | 0     | 1     | 75      | 60          |
      | 100   | 8     | 49      | 39          |
      | 10    | 100   | 4       | 4           |
      | 0     | 1000  | 1       | 0           |

  Scenario: All hosts together stay within the retry budget that they share
    Given a service with a retry budget of 0.8 per call and 150 more in 10 s
    Then 9 hosts with 40 calls each never exceed the retry budget

  Scenario Outline: Hosts that lose each other stay within their joint retry budget: <loss>
    Given 9 hosts that share a retry budget of 0.8 per call and 150 more in 10 s
    When <loss>, and each host retries as often as it may
    Then all hosts together made at most 150 retries

    Examples:
      | loss                                |
      | nothing happens                     |
      | each host is cut off from all       |
      | two hosts are cut off from the rest |
      | all hosts were killed and restarted |

  Scenario: A host that is gone for good leaves its share of the retry budget to others
    Given 9 hosts that share a retry budget of 0.8 per call and 150 more in 10 s
    When a host has been unreachable for 61 seconds
    Then the others divide the retry budget by 8

  Scenario: Callers that are refused together do not return together
    When 200 callers are refused with a retry time of about 2 s
    Then their retry times are spread over at least 0.9 s, and none is below 2 s

  Scenario Outline: Calls that a host accepts while it shuts down: after <elapsed> s
    Given a host that cuts calls off 7.4 s after its shutdown began
    Then after <elapsed> s it accepts a stream of 6 s: <stream>, a call of 1.5 s: <call>

    Examples:
      | elapsed | stream | call |
      | 0.1     | yes    | yes  |
      | 1.3     | yes    | yes  |
      | 2.0     | no     | yes  |
      | 6.5     | no     | no   |

  Scenario Outline: Calls that a host takes while it shuts down get a response: a <kind> after <elapsed> s
    Given a host that cuts calls off 7.4 s after its shutdown began
    Then after <elapsed> s it takes a <kind> that is ended within <remaining> s: <taken>

    Examples:
      | elapsed | kind                         | remaining | taken |
      | 6.1     | call                         | 1.0       | yes   |
      | 6.35    | call                         | 1.0       | no    |
      | 6.35    | call                         | 0.4       | yes   |
      | 2.0     | stream                       | 25.0      | yes   |
      | 2.4     | stream                       | 25.0      | no    |
      | 4.3     | stream                       | 25.0      | no    |
      | 4.3     | stream                       | 2.5       | yes   |
      | 0.1     | stream that can't be resumed | 25.0      | no    |
      | 0.1     | stream that can't be resumed | 7.0       | yes   |

  Scenario Outline: A stream that waits for memory while its host shuts down <waits or is refused>
    Given a host where a stream waits for memory
    When its shutdown is <elapsed> s old
    Then the queued stream <waits or is refused>

    Examples:
      | elapsed | waits or is refused |
      | 0.5     | still waits         |
      | 2.4     | is refused at once  |

  Scenario Outline: A path is routed by its longest matching prefix: <path>
    Given routes of a host for / and /a/ and /a/b/ and of another host for /a/
    Then the path <path> of that host matches the route <route>

    Examples:
      | path     | route  |
      | /        | /      |
      | /x       | /      |
      | /a       | /      |
      | /a/      | /a/    |
      | /a/x     | /a/    |
      | /a/b     | /a/    |
      | /a/b/    | /a/b/  |
      | /a/b/c/d | /a/b/  |
      | /ab/     | /      |
      | /A/b/    | /      |
