Feature: Hosts stop, start and reload without losing a request

  Scenario: A host that shuts down finishes its streams and refuses new ones
    Given a shared platform with 2 edges and 2 engines of each service in 1 zone
    When an edge gets SIGTERM while it relays streams and answers lookups
    Then it is no longer ready
    And the streams that end within its grace period are complete
    And new streams are refused with a Retry-After header, new lookups are answered
    And every response announces that the connection will be closed
    And it exits by itself within its grace period

  Scenario: A stream that outlasts a host's shutdown is resumed at another host
    Given a shared platform with 2 edges and 2 engines of each service in 1 zone
    When an edge gets SIGTERM while it relays a stream of 400 events
    Then the stream ends incomplete shortly before the grace period ends
    And it exits by itself within its grace period
    And another host sends the complete rest of the stream

  Scenario: A stream whose request is complete late in a shutdown is left to another host
    Given a shared platform with 2 edges and 2 engines of each service in 1 zone
    When the body of a stream of 400 events ends 2.6 s after SIGTERM
    Then the stream is refused as not run, and no engine has run it

  Scenario: Orders that come shortly before a host takes no more are answered
    Given an edge that has 3.8 s to stop, and engines too slow for orders
    When it gets an order each 4 ms from 1.7 s to 2.1 s after SIGTERM
    Then each order that an engine has run is answered, and the others are refused

  Scenario: A host without calls exits once it is out of rotation
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When an edge without calls gets SIGTERM
    Then it has exited by itself within 3 seconds
    And the last line of its log says that it has stopped

  Scenario: Hosts that are restarted in turn lose no request on persistent connections
    Given a shared platform with 3 edges and 2 engines of each service in 1 zone
    When callers send lookups to 3 edges over persistent connections while each edge is restarted in turn
    Then every request that an edge read got its response

  Scenario: Hosts that are killed are ready again within 3 seconds
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When all edges are killed and restarted
    Then the restarted edge is ready and serves within 3 seconds

  Scenario Outline: A settings file is reloaded or refused: the file <change>
    Given a shared platform with 1 edge and 1 engine of each service
    When callers send lookups to the edge while its settings file <change>
    Then every request was answered, and the log says <logged>

    Examples:
      | change                             | logged                 |
      | changes and SIGHUP arrives         | settings file reloaded |
      | changes without a signal           | settings file reloaded |
      | becomes invalid and SIGHUP arrives | settings file refused  |
      | is unchanged and SIGHUP arrives    | settings file reloaded |

  Scenario Outline: Invalid settings stop the start with an error that names the cause: <field> is <value>
    Given an edge's settings file with <field> set to <value>
    Then the router exits with status 2 and its error names <named>

    Examples:
      | field    | value      | named    |
      | node     | nothing    | node     |
      | listen   | nothing    | listen   |
      | platform | nothing    | platform |
      | listen   | 7          | settings |
      | platform | {}         | address  |
      | file     | not JSON   | settings |
      | file     | not there  | file     |

  Scenario: A port that is in use stops the start with an error that says so
    Given a shared platform with 1 edge and 1 engine of each service
    When a second edge starts at the same addresses
    Then it exits with an error that names the address, and no other error

  Scenario: Log output that nobody reads blocks no call and takes bounded memory
    Given a shared platform with 1 edge whose output nobody reads
    When callers send 3000 lookups that are refused
    Then all are answered, and memory has not grown by more than 10 MB
    And the number of dropped lines is logged once the output is read

  Scenario Outline: The volume of logs is bounded: <lines> lines of <size> bytes
    Given a log whose reader keeps up
    When <lines> lines of <size> bytes are logged within a second
    Then <written> of them are written, and the number of dropped lines is logged a second later
    And each line is a JSON object

    Examples:
      | lines | size | written      |
      | 1000  | 300  | all          |
      | 8000  | 300  | 3000 to 6000 |
      | 3     | 9000 | all          |

  Scenario: A host whose clock jumps after a pause still serves calls
    Given a shared platform with 2 edges and 1 engine of each service in 1 zone
    When the edges are paused for 2 seconds and resumed
    Then calls are served

  Scenario Outline: A connection that is accepted while a server closes is served or left unread: <steps> steps before
    Given a server of callers' connections whose handler takes 100 milliseconds
    When a request is sent on a new connection <steps> steps of the event loop before the server closes
    Then no request is being handled once the server has closed

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 6     |
