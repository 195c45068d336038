Feature: Only whole responses with a status of HTTP are taken for an upstream's answer

  # Guards against part of a response that is taken for the whole one since its connection
  # ended in order, although the other side had not received the request. A process that
  # ends with unread bytes in its socket resets the connection.
  Scenario Outline: An engine responds to an upload that is still being written: <connections>, <size> bytes, <response>
    Given an engine that responds to an upload of <size> bytes before it reads it with <response>
    When a host sends it the upload on <connections>
    Then the host takes the response for <reading>

    Examples:
      | connections                     | size    | response                                                 | reading   |
      | direct connections to an engine | 3000000 | part of a body without a length, and ends its side       | broken    |
      | direct connections to an engine | 3000000 | part of a body without a length, and closes              | broken    |
      | direct connections to an engine | 3000000 | part of a body without a length, and a reset             | broken    |
      | direct connections to an engine | 3000000 | part of a body with a length, and ends its side          | broken    |
      | direct connections to an engine | 3000000 | part of a body in chunks, and ends its side              | broken    |
      | direct connections to an engine | 3000000 | a whole body with a length, and ends its side            | whole     |
      | direct connections to an engine | 3000000 | a whole body with a length, and closes                   | whole     |
      | direct connections to an engine | 3000000 | a whole body in chunks, and ends its side                | whole     |
      | direct connections to an engine | 3000000 | a refusal without a length, and ends its side            | a refusal |
      | direct connections to an engine | 3000000 | a whole body without a length, after it has read it      | whole     |
      | direct connections to an engine | 40      | a whole body without a length, after it has read it      | whole     |
      | connections through a peer      | 3000000 | part of a body without a length, and ends its side       | broken    |
      | connections through a peer      | 3000000 | part of a body without a length, and closes              | broken    |
      | connections through a peer      | 3000000 | part of a body without a length, and a reset             | broken    |
      | connections through a peer      | 3000000 | part of a body with a length, and ends its side          | broken    |
      | connections through a peer      | 3000000 | a whole body with a length, and ends its side            | whole     |
      | connections through a peer      | 3000000 | a refusal without a length, and ends its side            | a refusal |
      | connections through a peer      | 3000000 | a whole body without a length, after it has read it      | whole     |
      | connections through a peer      | 40      | a whole body without a length, after it has read it      | whole     |
      | orders to a plain service       | 3000000 | part of a body without a length, and ends its side       | broken    |
      | orders to a plain service       | 3000000 | a whole body with a length, and ends its side            | whole     |
      | orders to a plain service       | 3000000 | a whole body without a length, after it has read it      | whole     |
      | writes to the store             | 3000000 | part of a body without a length, and ends its side       | broken    |
      | writes to the store             | 3000000 | a whole body without a length, after it has read it      | whole     |

  Scenario Outline: A relaying host tells whether an engine that ended its side has the request: <connection>
    Given a connection to an engine that <connection>
    When the engine has ended its side of it
    Then the relaying host finds that the engine <result> the request

    Examples:
      | connection                          | result        |
      | has taken all bytes                 | has           |
      | has 5 bytes that are not sent       | does not have |
      | has 7 bytes that are not received   | does not have |
      | broke off when bytes were sent      | does not have |
      | has taken all bytes as far as known | has           |

  Scenario Outline: Callers see that a response to their upload is not whole: <target>, <size> bytes, <response>
    Given a host with 2 engines of each service that respond to uploads early with <response>
    When a caller uploads <size> bytes to <target>
    Then the caller of the upload gets <result>

    Examples:
      | target    | size    | response                                           | result             |
      | /order/1  | 3000000 | part of a body without a length, and ends its side | 502                |
      | /order/1  | 800000  | part of a body without a length, and closes        | 502                |
      | /order/1  | 3000000 | part of a body without a length, and a reset       | 502                |
      | /stock/1  | 3000000 | part of a body without a length, and ends its side | 502                |
      | /stock/1  | 800000  | part of a body without a length, and closes        | 502                |
      | /review/1 | 3000000 | part of a body without a length, and ends its side | no complete answer |
      | /review/1 | 3000000 | some events without a length, and ends its side    | no complete answer |
      | /review/1 | 800000  | some events without a length, and closes           | no complete answer |
      | /review/1 | 3000000 | some events without a length, and a reset          | no complete answer |
      | /order/1  | 3000000 | a whole body with a length, and ends its side      | 200                |
      | /stock/1  | 3000000 | a whole body with a length, and ends its side      | 200                |
      | /order/1  | 3000000 | a refusal without a length, and ends its side      | 503                |

  # Guards against numbers in place of a status that callers get as an answer.
  Scenario Outline: A response has the status <status>: <connections>
    Given servers that respond with the status <status>
    When a host sends a request to one on <connections>
    Then the host takes the response for <reading>

    Examples:
      | connections                     | status | reading |
      | direct connections to an engine | 000    | broken  |
      | direct connections to an engine | 099    | broken  |
      | direct connections to an engine | 101    | broken  |
      | direct connections to an engine | 600    | broken  |
      | direct connections to an engine | 999    | broken  |
      | direct connections to an engine | 200    | whole   |
      | direct connections to an engine | 299    | whole   |
      | direct connections to an engine | 404    | whole   |
      | direct connections to an engine | 500    | whole   |
      | direct connections to an engine | 599    | whole   |
      | connections through a peer      | 000    | broken  |
      | connections through a peer      | 101    | broken  |
      | connections through a peer      | 600    | broken  |
      | connections through a peer      | 299    | whole   |
      | probes of an engine             | 000    | broken  |
      | probes of an engine             | 101    | broken  |
      | probes of an engine             | 600    | broken  |
      | probes of an engine             | 200    | whole   |
      | reads of the store              | 000    | broken  |
      | reads of the store              | 600    | broken  |
      | writes to the store             | 000    | broken  |
      | writes to the store             | 600    | broken  |
      | orders to a plain service       | 000    | broken  |
      | orders to a plain service       | 101    | broken  |
      | orders to a plain service       | 600    | broken  |
      | orders to a plain service       | 404    | whole   |

  Scenario Outline: Callers get no answer without a status of HTTP: <status>, <path>
    Given a host that reaches 3 plain engines <path>
    When engines respond with <status> once to a lookup, and then to an order
    Then the lookup is answered with 200 and the order with 502, and the order ran once

    Examples:
      | status     | path           |
      | status 000 | directly       |
      | status 099 | directly       |
      | status 101 | directly       |
      | status 600 | directly       |
      | status 000 | through a peer |
      | status 999 | through a peer |

  Scenario Outline: A stream goes on where an engine responds without a status of HTTP: <status>, <path>
    Given a host that reaches 3 model engines <path>, and no copies of runs
    When a stream of 60 events breaks off after 10, and the next engine answers with <status>
    Then the caller got all events once and in order, and nothing else

    Examples:
      | status                 | path           |
      | status 000             | directly       |
      | status 000 with events | directly       |
      | status 101 with events | directly       |
      | status 600 with events | directly       |
      | status 000 with events | through a peer |

  Scenario Outline: A stream whose first engines respond without a status of HTTP begins elsewhere: <status>
    Given a host that reaches 3 model engines directly, and no copies of runs
    When a stream of 20 events is sent, and 2 engines answer with <status>
    Then the caller got all events once and in order, and nothing else

    Examples:
      | status                 |
      | status 000             |
      | status 000 with events |
      | status 101             |
      | status 600             |
