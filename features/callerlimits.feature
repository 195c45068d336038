Feature: Open connections follow the limits of the configuration in force

  # Guards against connections that keep the limits of the configuration under which they
  # were opened: requests that the configuration in force allows are cut off or refused.
  Scenario Outline: A connection that was opened before <limit> was raised: <request>
    Given a shared platform with 1 edge and 1 engine of each service
    When <limit> is raised from <old> to <new> while a connection is open
    Then <request> on the open connection is served

    Examples:
      | limit             | old  | new   | request                           |
      | header_timeout_ms | 600  | 3000  | a head that takes 1.2 s           |
      | idle_timeout_ms   | 1500 | 6000  | a request after 3 s without any   |
      | max_header_bytes  | 4096 | 32768 | a request with a 7,000 byte header |

  Scenario Outline: A connection that was opened before <limit> was lowered
    Given a shared platform with 1 edge and 1 engine of each service
    When <limit> is lowered from <old> to <new> while a connection is open
    Then <request> on the open connection is <result>

    Examples:
      | limit             | old   | new  | request                             | result     |
      | max_header_bytes  | 32768 | 4096 | a request with a 7,000 byte header | refused with 431 |
      | header_timeout_ms | 3000  | 600  | a head that takes 1.2 s             | served           |

  Scenario: An idle connection is closed after the idle time in force
    Given a shared platform with 1 edge and 1 engine of each service
    When idle_timeout_ms is raised from 1000 to 2500 while a connection is open
    Then the open connection is closed 2.5 to 3.5 s after its last request
