Feature: Hosts stop, start and reload without losing a request

  Scenario: A host that is told to stop finishes what it took and takes no more
    Given a shared platform with 2 edges and 2 engines of each service in 1 zone
    When an edge is told to stop while it relays streams and answers lookups
    Then it is not ready from then on
    And the streams that end within its time are whole
    And new streams are refused with a time to come back, new lookups are answered
    And every answer says that the connection ends
    And it ends by itself before it would be killed

  Scenario: A stream that lasts longer than the host is continued at another host
    Given a shared platform with 2 edges and 2 engines of each service in 1 zone
    When an edge is told to stop while it relays a stream of 400 events
    Then the stream ends without looking complete just before the host is killed
    And it ends by itself before it would be killed
    And the rest of the stream comes whole from another host

  Scenario: A host without calls ends once it is out of rotation
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When an edge without calls has to stop
    Then it has ended by itself within 3 seconds

  Scenario: Hosts that are restarted in turn lose no request on kept connections
    Given a shared platform with 3 edges and 2 engines of each service in 1 zone
    When callers press 3 edges over kept connections while each is restarted in turn
    Then every request that was read got its answer

  Scenario: A host that is killed is back within 3 seconds
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When all edges are killed and started again
    Then the restarted edge is ready and serves within 3 seconds

  Scenario Outline: Settings that change are taken over: <how>
    Given a shared platform with 1 edge and 1 engine of each service
    When callers press the edge while its settings file <how>
    Then every request was answered, and the log says <logged>

    Examples:
      | how                              | logged                 |
      | changes and SIGHUP comes         | settings file reloaded |
      | changes without a signal         | settings file reloaded |
      | breaks and SIGHUP comes          | settings file refused  |
      | stays as it is and SIGHUP comes  | settings file reloaded |

  Scenario Outline: Settings that are wrong end the start with a clear error: <field>
    Given the platform's settings with <field> set to <value>
    Then the router ends with status 2 and names <named>

    Examples:
      | field    | value      | named    |
      | node     | nothing    | node     |
      | listen   | nothing    | listen   |
      | platform | nothing    | platform |
      | listen   | 7          | settings |
      | platform | {}         | address  |
      | file     | not JSON   | settings |
      | file     | not there  | file     |

  Scenario: A port that is taken ends the start with that cause
    Given a shared platform with 1 edge and 1 engine of each service
    When a second edge starts at the same addresses
    Then it ends with an error that names the address, and no other

  Scenario: Logs that nobody reads block nothing and are bounded
    Given a shared platform with 1 edge whose output nobody reads
    When callers send 3000 lookups that are refused
    Then all are answered, and memory has not grown by more than 10 MB
    And the lines that were dropped are counted once the output is read

  Scenario Outline: The volume of logs is bounded: <lines> lines of <size> bytes
    Given a log whose reader is fast
    When <lines> lines of <size> bytes are logged within a second
    Then <written> of them are written, and the others are counted a second later
    And each line is a JSON object

    Examples:
      | lines | size | written      |
      | 1000  | 300  | all          |
      | 8000  | 300  | 3000 to 6000 |
      | 3     | 9000 | all          |

  Scenario: A clock that jumps changes nothing
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When the edges are paused for 2 seconds and go on
    Then calls are served
