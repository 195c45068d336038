Feature: A response that ends early is never taken for a whole one

  Scenario Outline: A response may end at any byte: <connections>, <body>, <ending>
    Given servers whose responses have <body>
    When each response ends early at another byte, <ending>, on <connections>
    Then none counts as whole, and no request counts as not run
    And no request was sent more than <sends>

    Examples:
      | connections                     | body                    | ending                   | sends  |
      | direct connections to an engine | a body with a length    | with a closed connection | once   |
      | direct connections to an engine | a body with a length    | with a reset             | once   |
      | direct connections to an engine | a body in chunks        | with a closed connection | once   |
      | direct connections to an engine | a body in chunks        | with a reset             | once   |
      | direct connections to an engine | a body without a length | with a closed connection | once   |
      | direct connections to an engine | a body without a length | with a reset             | once   |
      | direct connections to an engine | an interim response     | with a closed connection | once   |
      | connections through a peer      | a body with a length    | with a closed connection | once   |
      | connections through a peer      | a body with a length    | with a reset             | once   |
      | connections through a peer      | a body in chunks        | with a closed connection | once   |
      | connections through a peer      | a body without a length | with a closed connection | once   |
      | connections through a peer      | a body without a length | with a reset             | once   |
      | probes of an engine             | a body with a length    | with a closed connection | twice  |
      | probes of an engine             | a body without a length | with a reset             | twice  |
      | reads of the store              | a body with a length    | with a closed connection | twice  |
      | reads of the store              | a body without a length | with a reset             | twice  |
      | writes to the store             | a body with a length    | with a closed connection | once   |
      | writes to the store             | a body with a length    | with a reset             | once   |
      | writes to the store             | a body in chunks        | with a closed connection | once   |
      | writes to the store             | a body without a length | with a reset             | once   |
      | orders to a plain service       | a body with a length    | with a closed connection | once   |
      | orders to a plain service       | a body in chunks        | with a reset             | once   |
      | orders to a plain service       | a body without a length | with a closed connection | once   |
      | orders to a plain service       | a body without a length | with a reset             | once   |
      | requests to a peer              | a reply                 | with a closed connection | once   |
      | requests to a peer              | a reply                 | with a reset             | once   |
  Scenario Outline: A document of the store that is cut off is not read as a shorter one: <document>
    When <document> is cut off at each byte
    Then each of its parts is refused as malformed

    Examples:
      | document                   |
      | a list of objects          |
      | a list that is its last member |
      | the events of a watch      |
      | an object                  |

  Scenario Outline: A stream goes on at an engine only if its report shows the registered start: <stream>, <versions>, <report>
    Given a stream that <stream>, and an engine of a service with <versions> whose report is <report>
    When a host asks whether it is still the engine that it registered
    Then the stream <result> there

    Examples:
      | stream                   | versions     | report                                  | result         |
      | breaks off at this host  | two versions | whole                                   | goes on        |
      | breaks off at this host  | two versions | that of a later start                   | does not go on |
      | breaks off at this host  | two versions | cut off at any byte, without a length   | does not go on |
      | breaks off at this host  | two versions | an error without a start                | does not go on |
      | breaks off at this host  | two versions | cut off once, and whole the second time | goes on        |
      | its caller takes up      | one version  | whole                                   | goes on        |
      | its caller takes up      | one version  | that of a later start                   | does not go on |
