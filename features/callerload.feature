Feature: Callers' connections that hold much and make no progress are closed first

  # Replays the end state of a crowd: kind of connection, number, memory of each in kB,
  # age of its phase in s and time since its last byte in s.
  Scenario Outline: Memory for callers of <limit> MB is exceeded by <connections>
    Given callers' connections: <connections>
    When they may hold <limit> MB
    Then these are closed for memory: <closed>

    Examples:
      | limit | connections                                                  | closed         |
      | 16    | a: 20 receiving 500 kB for 9 s, still for 5 s; b: 5 receiving 16 kB for 0.1 s, still for 0 s | none |
      | 16    | a: 30 receiving 500 kB for 9 s, still for 5 s; b: 5 receiving 16 kB for 0.1 s, still for 0 s | 6 of a |
      | 16    | a: 4 receiving 4000 kB for 9 s, still for 0 s; b: 9 receiving 500 kB for 9 s, still for 5 s | 9 of b, 1 of a |
      | 16    | a: 4 receiving 4000 kB for 9 s, still for 0 s; b: 9 receiving 30 kB for 0 s, still for 0 s | 1 of a |
      | 16    | a: 9 running 4000 kB for 9 s, still for 9 s; b: 1 receiving 500 kB for 0 s, still for 0 s | 1 of b |
      | 16    | a: 3 running 4000 kB for 9 s, still for 9 s; b: 99 receiving 30 kB for 0 s, still for 0 s | none |
      | 16    | a: 3 running 4000 kB for 9 s, still for 9 s; b: 199 receiving 30 kB for 0 s, still for 0 s | 53 of b |
      | 16    | a: 90 unread 200 kB for 1 s, still for 1 s; b: 5 receiving 500 kB for 1 s, still for 0 s | 5 of b |
      | 16    | a: 90 unread 200 kB for 3 s, still for 3 s; b: 5 receiving 16 kB for 0 s, still for 0 s | 29 of a |

  Scenario Outline: A connection arrives when no more are allowed beside <connections>
    Given callers' connections: <connections>
    When one more connects
    Then <closed> is closed for it

    Examples:
      | connections                                                                                | closed |
      | a: 1 idle 8 kB for 9 s, still for 9 s; b: 1 served 8 kB for 20 s, still for 20 s            | a      |
      | a: 1 served 8 kB for 9 s, still for 9 s; b: 1 served 8 kB for 20 s, still for 20 s          | b      |
      | a: 1 running 8 kB for 9 s, still for 9 s; b: 1 receiving 8 kB for 2 s, still for 0 s        | b      |
      | a: 1 running 8 kB for 9 s, still for 9 s; b: 1 receiving 8 kB for 0.1 s, still for 0 s      | none   |
      | a: 1 running 8 kB for 9 s, still for 9 s; b: 1 unread 80 kB for 3 s, still for 3 s          | b      |
      | a: 1 running 8 kB for 9 s, still for 9 s; b: 1 unread 80 kB for 1 s, still for 1 s          | none   |

  # Guards against callers that pipeline requests without end and so stay busy.
  Scenario Outline: A connection arrives when all others are busy: <connections>
    Given callers' connections: <connections>
    When one more connects
    Then none is closed for it
    And otherwise <ended> would be closed after its response

    Examples:
      | connections                                                                                | ended |
      | a: 9 running 8 kB for 9 s, still for 9 s                                                    | none  |
      | a: 9 running 8 kB for 9 s, still for 9 s; b: 1 pipelining 8 kB for 0 s, still for 0 s       | b     |
      | a: 1 pipelining 8 kB for 1 s, still for 0 s; b: 1 pipelining 8 kB for 2 s, still for 0 s    | b     |

  Scenario Outline: The capacity for callers of a host of <memory> MB and <files> descriptors
    Given requests of up to <request> kB
    Then callers of a host of <memory> MB and <files> descriptors may hold <held> MB on <connections> connections

    Examples:
      | memory | files | request | held | connections |
      | 128    | 4100  | 4112    | 32   | 1537        |
      | 552    | 8192  | 4112    | 138  | 3072        |
      | 136    | 1638  | 4112    | 34   | 614         |
      | 64     | 1638  | 4112    | 21   | 614         |

  # The largest body on any sheet of the platform's customers has 55,000 bytes. A zone of
  # ten hosts gets 36 requests a second, most of them of 600 bytes; here one host does.
  Scenario: Ten times the traffic of the sheets, all of the largest size, closes no connection
    Given 36 requests a second of 55 kB, each received for 0.2 s and run for 5 s
    When they may hold 32 MB
    Then these are closed for memory: none

  # Guards against taking "no limit", which the system states as -1, for no descriptors.
  Scenario Outline: The descriptors of a process with a limit of <limit>
    Given a process whose limit on descriptors is <limit>
    Then a router with its own settings takes its limit as <files>

    Examples:
      | limit | files   |
      | 4096  | 4096    |
      | none  | 1048576 |
