Feature: An odd entry in the store costs that entry alone

  Scenario Outline: Engines that register beside an odd entry get calls: <oddity>
    Given a shared platform with 1 edge and 1 engine of each service
    And an entry <oddity> among the engines
    When another engine registers, and the first one is lost
    Then calls reach the new engine within 3 seconds
    And all calls after that are served, and the host logs the odd entry once

    Examples:
      | oddity                        |
      | nested 2,000 deep             |
      | nested 900 deep               |
      | with the number 1e400         |
      | with a lone surrogate         |
      | with port 99999               |
      | with an address with blanks   |

  Scenario Outline: Entries around an odd one are decoded: <oddity>, <place>
    When a <place> of the store has an object <oddity> between two others
    Then the two others are decoded, and the odd one <result>

    Examples:
      | oddity                   | place | result             |
      | nested 2,000 deep        | list  | has no content     |
      | nested 2,000 deep        | watch | has no content     |
      | nested 900 deep          | list  | has no content     |
      | with the number 1e400    | list  | has no content     |
      | with the number 1e400    | watch | has no content     |
      | with a lone surrogate    | list  | has no content     |
      | with odd metadata        | list  | is left out        |
      | with odd metadata        | watch | is left out        |
      | without metadata         | list  | is left out        |
      | with a numeric name      | list  | is left out        |
      | with a text as revision  | list  | is left out        |
      | that is a number         | list  | is left out        |
      | that is deleted and odd  | watch | is deleted         |

  Scenario Outline: A registration with an odd field names no engine: <field> <value>
    When an engine registers with <field> <value>
    Then the registration is <result>

    Examples:
      | field   | value                    | result   |
      | address | "10.0.0.1:8300"          | decoded  |
      | address | "10.0.0.1:99999"         | refused  |
      | address | "10.0.0.1:0"             | refused  |
      | address | "10.0.0.1:-1"            | refused  |
      | address | "10.0.0.1:8300 "         | refused  |
      | address | "10.0.0.1 :8300"         | refused  |
      | address | "10.0. 0.1:8300"         | refused  |
      | address | "engine.example:8300"    | refused  |
      | address | "10.0.0.1:8_3"           | refused  |
      | address | 8300                     | refused  |
      | slots   | 1                        | decoded  |
      | slots   | 0                        | refused  |
      | slots   | true                     | refused  |
      | slots   | 2.5                      | refused  |
      | slots   | 1180591620717411303424   | refused  |
      | born    | 1764892800000            | decoded  |
      | born    | -1                       | refused  |
      | born    | 1e300                    | refused  |
      | born    | "soon"                   | refused  |
      | born    | Infinity                 | refused  |
      | version | ""                       | decoded  |
      | version | 7                        | refused  |
      | service | ["a"]                    | refused  |
      | state   | "asleep"                 | refused  |
      | models  | [{"name": "m"}]          | decoded  |
      | models  | [7]                      | refused  |
      | models  | {"name": 7}              | refused  |

  Scenario: Random entries raise no errors
    When random documents are decoded as lists, events, registrations, hosts and configurations
    Then each is decoded or refused

  # Guards against objects that are cut at the wrong place when a list is split.
  Scenario: Objects of random lists are located alike at any depth
    When random objects are written as a list, in any form and nested up to 300 deep
    Then each is located as it was written

  # Hosts of an earlier build send each other whole registrations.
  Scenario Outline: Of a registration hosts keep what they use: <registration>
    When a peer sends a registration <registration>
    Then hosts keep at most 8 fields and 6,000 bytes of it
    And a host that does not trim registrations decodes it <result>

    Examples:
      | registration                     | result |
      | as it is                         | alike  |
      | with 1,000 more members          | alike  |
      | with 1,000 models                | alike  |
      | draining                         | alike  |
      | without a start time             | alike  |
      | with a list as slots             | as odd |
      | that is a list                   | as odd |
      | without content                  | as odd |
