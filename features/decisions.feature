Feature: Decisions under load, replayed on a clock of their own

  Scenario Outline: <policy> answers <pattern> better than <baseline>
    When the load pattern <pattern> is replayed with <policy> and with <baseline>
    Then <policy> serves at least <gain> more of the calls in time

    Examples:
      | pattern            | policy              | baseline       | gain  |
      | zones-lost-in-turn | least-prompt-tokens | no copies      | 0.08  |
      | zones-lost-in-turn | least-prompt-tokens | round-robin    | 0.02  |
      | overload           | least-prompt-tokens | no admission   | 0.08  |
      | hot-organisation   | least-prompt-tokens | no admission   | 0.05  |
      | herd-returns       | two-choices         | round-robin    | 0.02  |
      | failing-engines    | least-prompt-tokens | no health      | 0.05  |

  Scenario Outline: Prompts are not read in vain: <policy> under <pattern>
    When the load pattern <pattern> is replayed with <policy> and with <baseline>
    Then <policy> reads at most <part> of the tokens in vain that <baseline> does

    Examples:
      | pattern            | policy              | baseline     | part |
      | zones-lost-in-turn | least-prompt-tokens | no copies    | 0.2  |
      | overload           | least-prompt-tokens | no admission | 0.8  |
      | mixed-sizes        | least-prompt-tokens | no admission | 0.6  |

  Scenario: An organisation that floods the engines does not starve the others
    When the load pattern hot-organisation is replayed once with least-prompt-tokens
    Then at least 0.9 of the calls of usual are served

  Scenario: Large prompts are served as often as small ones
    When the load pattern mixed-sizes is replayed once with least-prompt-tokens
    Then calls of 20000 tokens and more are served 0.9 times as often as all

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

  Scenario Outline: What follows when an attempt at a stream has ended: <case>
    Given a stream whose attempt ended as <ending>, <case>
    Then the next step is to <step>

    Examples:
      | ending     | case                                 | step                   |
      | lost       | with a copy                          | continue from the copy |
      | lost       | without a copy                       | send again             |
      | not run    | with a copy                          | send again             |
      | not run    | of a call that may run once only     | send again             |
      | lost       | of a call that may run once only     | give up                |
      | failed     | of a call that may run once only     | give up                |
      | failed     | without a copy                       | send again             |
      | failed     | after as many failures as are allowed | give up               |
      | lost       | after six losses                     | give up                |
      | not run    | after ten sends                      | give up                |
      | lost       | of a call that crashes engines       | give up                |
      | time is up | with a copy                          | give up                |
      | no engine  | without a copy                       | give up                |

  Scenario Outline: What counts as a long stream follows the longest: <case>
    When streams end after <lengths> seconds, <times> times over
    Then a long stream takes <least> to <most> seconds

    Examples:
      | case         | lengths         | times | least | most |
      | nothing yet  | 9               | 0     | 9     | 9    |
      | all alike    | 3               | 200   | 3     | 3.2  |
      | mixed        | 3 4 5 6 7 8     | 100   | 7     | 8    |
      | one long     | 3 3 3 3 3 12    | 100   | 9     | 12   |

  Scenario Outline: Calls that lost the same engines never share the next: <case>
    Given <suspects> calls that lost the same two engines, and <engines> others
    When <hosts> hosts choose for each of them, with their own views of the load
    Then no two calls share an engine, and all hosts choose alike

    Examples:
      | case           | suspects | engines | hosts |
      | two of them    | 2        | 4       | 2     |
      | five of them   | 5        | 6       | 8     |
      | no other room  | 3        | 3       | 3     |

  Scenario: A call that alone may crash engines goes where least would be lost
    Given 1 calls that lost the same two engines, and 5 others
    When 1 hosts choose for each of them, with their own views of the load
    Then the engine has the fewest runs

  Scenario Outline: An engine that fails more than its fellows is left out: <case>
    Given engines whose latest calls failed like this: <failures>
    Then these are left out: <left_out>

    Examples:
      | case                      | failures          | left_out |
      | none fails                | 0/9 0/9 0/9       | none     |
      | all fail alike            | 3/9 4/9 3/9       | none     |
      | one fails half            | 5/9 0/9 1/9       | 1        |
      | one call is no verdict    | 1/1 0/9 0/9       | none     |
      | half stay whatever they do | 9/9 9/9 9/9 0/9  | none     |
      | two of five               | 9/9 9/9 0/9 0/9 0/9 | 1 2    |
      | alone                     | 9/9               | none     |
      | long ago                  | 9/9@30 0/9 0/9    | none     |

  Scenario Outline: Which crashes are evidence against a call: <case>
    Given a crash of an engine under a call, <case>
    Then it <counts>

    Examples:
      | case                                                    | counts        |
      | and nothing else                                        | is evidence   |
      | and one of the same zone 0.2 s before                   | is no evidence |
      | and one of the same zone 0.2 s after                    | is no evidence |
      | and one of the same zone 2 s before                     | is evidence   |
      | and one of another zone at the same time                | is evidence   |
      | and one of the same zone 0.2 s before under the same call | is evidence |
      | and one that two hosts saw, under the same call on one of them | is evidence |

  Scenario Outline: Whether a generation starts, waits or is turned away: <case>
    Given a generation of 9000 tokens, <case>
    Then it is to <verdict>

    Examples:
      | case                                               | verdict |
      | with 30000 tokens free                             | start   |
      | with 9000 tokens free                              | wait    |
      | with 2000 tokens free                              | wait    |
      | with 30000 tokens free and others before it        | wait    |
      | with 2000 tokens free and 5 seconds left           | refuse  |
      | larger than any engine                             | start   |
      | without any engine                                 | wait    |
      | without any engine for longer than it may wait     | refuse  |

  Scenario Outline: How many repeats a host may make: <calls> calls on <hosts> hosts
    Given a service whose calls may be repeated 0.8 times and 150 more in 10 s
    When <calls> calls come to one of <hosts> hosts in 10 s
    Then it repeats <repeats> of them at most, and <continued> more continue runs

    Examples:
      | calls | hosts | repeats | continued |
      | 0     | 1     | 75      | 60        |
      | 100   | 8     | 49      | 39        |
      | 10    | 100   | 4       | 4         |
      | 0     | 1000  | 1       | 0         |

  Scenario: All hosts together stay within what they share
    Given a service whose calls may be repeated 0.8 times and 150 more in 10 s
    Then 9 hosts with 40 calls each never repeat more than it allows

  Scenario: Callers that are turned away together do not come back together
    When 200 callers are told to come back in about 2 s
    Then their times are spread over at least 0.9 s, and none is below 2 s

  Scenario Outline: Which calls a host takes that is told to stop: after <elapsed> s
    Given a host that cuts calls off 7.4 s after it is told to stop
    Then after <elapsed> s it takes a stream of 6 s <stream>, a call of 1.5 s <call>

    Examples:
      | elapsed | stream | call |
      | 0.1     | yes    | yes  |
      | 1.3     | yes    | yes  |
      | 2.0     | no     | yes  |
      | 6.5     | no     | no   |

  Scenario Outline: The longest prefix decides: <path>
    Given routes of a host to / and /a/ and /a/b/ and of another to /a/
    Then the path <path> of that host takes the route <route>

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
