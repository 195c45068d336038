@alone
Feature: Callers that we don't control end no process

  # Guards against request bodies, heads and connections that each stay inside the limits
  # on callers but together exceed the memory or the descriptors of the host.
  Scenario Outline: A crowd of callers: <crowd>
    Given a host of 96 MB and 200 descriptors
    When a crowd sends requests and stays: <crowd>
    Then the edge is still running
    And the edge never used more than 96 MB and 200 descriptors
    And an ordinary request is answered beside the crowd
    And no unfinished request has run, and refusals are true

    Examples: One kind of caller
      | crowd                       |
      | 100 of large chunks         |
      | 100 of one-byte chunks      |
      | 100 of bodies with a length |
      | 150 of unfinished heads     |
      | 100 of pipelined requests   |
      | 400 of open connections     |
      | 60 of repeated large bodies |
      | 100 of stopped readers      |

    Examples: Two kinds of callers
      | crowd                                               |
      | 100 of large chunks, 400 of open connections        |
      | 80 of one-byte chunks, 80 of unfinished heads       |
      | 80 of bodies with a length, 80 of stopped readers   |
      | 80 of large chunks, 80 of pipelined requests        |

  Scenario Outline: A single body of the largest size is served in calm: <framing>
    Given a host of 96 MB and 200 descriptors
    When one request with a body of 1048576 bytes is sent <framing>
    Then it is answered with success
    And the edge never used more than 96 MB and 200 descriptors

    Examples:
      | framing            |
      | in large chunks    |
      | in one-byte chunks |
      | with a length      |

  # The router with settings of its own reads bodies of up to 8 MiB for its API.
  Scenario Outline: A crowd of callers of a router with its own settings: <crowd>
    Given a router with its own settings on a host of 128 MB and 200 descriptors
    When a crowd sends requests and stays: <crowd>
    Then the edge is still running
    And the edge never used more than 128 MB and 200 descriptors
    And a completion is answered beside the crowd
    And refusals of the crowd are true

    Examples:
      | crowd                                        |
      | 100 of large chunks                          |
      | 100 of one-byte chunks                       |
      | 100 of bodies with a length                  |
      | 150 of unfinished heads                      |
      | 400 of open connections                      |
      | 80 of large chunks, 80 of one-byte chunks    |
