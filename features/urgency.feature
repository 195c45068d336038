Feature: The rank of a stream reaches the engines

  Scenario Outline: The urgency of a <stream> of priority <priority> among <ranks>
    When a <stream> of priority <priority> is sent to a service of ranks <ranks>
    Then its urgency is <urgency>

    Examples:
      | stream           | priority | ranks      | urgency |
      | new stream       | 0        | 0, 1, 2    | 2       |
      | new stream       | 1        | 0, 1, 2    | 4       |
      | new stream       | 2        | 0, 1, 2    | 6       |
      | begun stream     | 2        | 0, 1, 2    | 5       |
      | begun stream     | 0        | 0, 1, 2    | 1       |
      | new stream       | 7        | 0, 3, 7    | 6       |
      | new stream       | 9        | 0, 1, 2, 3, 4, 9 | 8 |
      | new stream       | 1        | 1          | none    |
      | begun stream     | 1        | 1          | none    |

  Scenario Outline: Engines are told of ranks where routes or callers have several: <ranks>
    Given a shared platform with 1 edge and 2 engines of each service
    And the configuration gives streams <ranks>
    When a stream of each route is sent with an urgency of its own
    Then engines were told the urgencies <urgencies>

    Examples:
      | ranks                                     | urgencies |
      | priorities 0 and 2                        | 2, 4      |
      | one priority                              | none, none |
      | priorities 0 and 2, and the caller its own | none, none |
