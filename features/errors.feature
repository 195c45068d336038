Feature: Invalid input is refused with a problem document

  Scenario: Invalid calls and settings are refused with their reason
    Given a router with 1 engine and 1 plain service
    Then these calls are refused
      | method | path                             | key     | body                                          | status | type                     |
      | POST   | /v1/completions                  | good    | {"model":"none","prompt":"p","max_tokens":1}  | 404    | not-found                |
      | POST   | /v1/completions                  | unknown | {"model":"quote","prompt":"p","max_tokens":1} | 401    | unknown-key              |
      | POST   | /v1/completions                  | good    | not json                                      | 400    | malformed-request        |
      | POST   | /v1/completions                  | good    | {"model":"quote","prompt":7,"max_tokens":1}   | 400    | malformed-request        |
      | POST   | /v1/completions                  | good    | {"model":"quote","prompt":"p","max_tokens":0} | 400    | malformed-request        |
      | POST   | /v1/completions                  | good    | HUGE                                          | 413    | body-too-large           |
      | GET    | /v1/services/none/check          | good    |                                               | 404    | not-found                |
      | POST   | /v1/services/stock/orders/fleece | good    | {}                                            | 400    | idempotency-key-required |
      | POST   | /v1/services/stock/orders/fleece | unknown | {}                                            | 401    | unknown-key              |
    And an idempotency key reused for another body is refused with 422
    And an order key reused for another call is refused with 422
    And malformed settings are refused with path, field and reason
    And settings that are stored malformed in the platform never take effect

  Scenario Outline: The option --check reports an invalid <field> in the host settings
    When the host settings have <field> set to <value>
    Then the check names <field> and what was expected

    Examples:
      | field             | value    |
      | caller_port       | "high"   |
      | address           | "a-name" |
      | peer_key          | "short"  |
      | availability_zone | ""       |
      | drain_bound_s     | -1       |

  Scenario: A host with another peer key does not become a peer
    Given two hosts that share a peer key and one that has another
    Then the two hosts are peers of each other, and the third has no peers
    And the third host still serves a generation
