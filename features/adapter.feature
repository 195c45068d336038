Feature: The platform's data formats are decoded into typed fields

  Guards against misread units, missing fields and malformed documents that are
  accepted in part.

  Scenario: The settings file is decoded
    When the golden settings are decoded
    Then the decoded fields are
      | field                 | value                                  |
      | host                  | front-tunja-taller-1                   |
      | availability_zone     | tunja-taller                           |
      | region                | altiplano                              |
      | address               | 10.1.0.40                              |
      | caller_endpoint       | 10.1.0.40:8227                         |
      | readiness_endpoint    | 10.1.0.40:8220                         |
      | peer_endpoint         | 10.1.0.40:8229                         |
      | seeds.1               | 10.2.0.29:8229                         |
      | bounds.grace_s        | 8.0                                    |
      | bounds.drain_s        | 3.0                                    |
      | bounds.recovery_bound_s | 4.0                                    |
      | bounds.retry_ratio    | 0.8                                    |
      | bounds.retry_slack    | 150.0                                  |
      | bounds.retry_window_s | 10.0                                   |
      | store.endpoint        | 10.200.1.7:8223                        |
      | store.history_s       | 20.0                                   |
      | regions.pasto-taller  | sur-andino                             |

  Scenario: Without listen.control the peer port comes from the port range
    When the golden settings are decoded without listen.control
    Then the decoded fields are
      | field | value          |
      | peer_endpoint | 10.1.0.40:7340 |

  Scenario: The operator's configuration is decoded
    When the golden configuration is decoded
    Then the decoded fields are
      | field                         | value              |
      | number                        | 7                  |
      | revision                      | 42                 |
      | needs_keys                    | True               |
      | routes.0.host                 | ficu95.example     |
      | routes.0.kind.value           | streaming          |
      | routes.0.timeout_s            | 25.0               |
      | routes.0.target_latency_s     | 4.5                |
      | routes.0.target_gap_s         | 0.7                |
      | routes.0.shares.0.service     | huvo11a            |
      | routes.0.shares.0.weight      | 90.0               |
      | routes.0.max_attempts         | 5                  |
      | routes.0.has_prompt           | True               |
      | routes.0.is_resumable         | True               |
      | routes.0.may_retry            | True               |
      | routes.1.kind.value           | non-idempotent     |
      | routes.1.may_retry            | False              |
      | routes.1.is_public            | True               |
      | routes.1.shares.0.service     | wuno96b            |
      | services.huvo11a.engine.slots | 64                 |
      | services.huvo11a.engine.memory_tokens | 88000      |
      | services.huvo11a.engine.supports_backups | True       |
      | services.huvo11a.engine.backup_ttl_s  | 4.0        |
      | services.wuno96b.engine       | None               |
      | services.wuno96b.connection_limit     | 110        |
      | limits.body_bytes             | 4194304            |
      | limits.header_timeout_s       | 3.0                |
      | limits.idle_timeout_s         | 15.0               |
      | callers.n2ctnfzs989anu6wsjnb.organisation | hule930 |
      | callers.anfqasnmgkcuyj8pjbvk.priority     | 1      |

  Scenario Outline: A malformed configuration is refused as a whole: <field> is <value>
    When the golden configuration is decoded with <field> set to <value>
    Then decoding fails

    Examples:
      | field                 | value      |
      | routes                | null       |
      | routes                | "none"     |
      | routes.0.kind         | "new"      |
      | routes.0.timeout_ms   | "soon"     |
      | routes.0.host         | 7          |
      | services              | [7]        |
      | services.0.engine     | {"a": 1}   |
      | tenants               | [{}]       |
      | version               | null       |
      | limits                | 7          |

  Scenario: An engine's registration is decoded
    When the golden registration is decoded
    Then the decoded fields are
      | field             | value           |
      | name              | i-7f3a91c2      |
      | service           | huvo11a         |
      | address           | 10.128.0.9:8080 |
      | availability_zone | tunja-taller    |
      | slots             | 64              |
      | is_draining       | False           |
      | born_ms           | 1796350000123   |

  Scenario Outline: A malformed registration is refused: <field> is <value>
    When the golden registration is decoded with <field> set to <value>
    Then decoding fails

    Examples:
      | field     | value        |
      | service   | null         |
      | service   | 7            |
      | zone      | ["a"]        |
      | address   | "somewhere"  |
      | address   | "1.2.3.4:x"  |
      | slots     | "64"         |
      | slots     | 0            |
      | state     | "resting"    |
      | models    | 7            |
      | models    | [{}]         |
      | born      | "yesterday"  |

  Scenario: Pages and watch events of the store are decoded
    When the golden page is decoded
    Then the decoded fields are
      | field              | value |
      | objects.0.name     | i-1   |
      | objects.0.revision | 412   |
      | has_more           | True  |
      | revision           | 530   |
    When the golden events are decoded
    Then the decoded fields are
      | field                    | value |
      | events.0.object.revision | 531   |
      | events.0.is_deleted      | False |
      | events.1.object.name     | i-2   |
      | events.1.is_deleted      | True  |
      | revision                 | 533   |

  Scenario: The headers of a caller's request are decoded
    When these request headers are decoded
      | name                       | value                                      |
      | Sapphirerock-Attempt-Id    | 9c41d07be2a35f68                           |
      | Last-Event-Id              | 12                                         |
      | Sapphirerock-Model         | m                                          |
      | Sapphirerock-Token-Usage   | 1460,80                                    |
      | Sapphirerock-Prompt-Prefix | 5c1e07a2:800,91bd3f06:410,e4402b7d:250     |
      | Sapphirerock-Deadline-Ms   | 25000                                      |
      | Authorization              | Token n2ctnfzs989anu6wsjnb                 |
    Then the decoded fields are
      | field                | value                                                  |
      | attempt_id           | 9c41d07be2a35f68                                       |
      | caller_timeout_s     | 25.0                                                   |
      | key                  | n2ctnfzs989anu6wsjnb                                   |
      | last_event_id        | 12                                                     |
      | prompt.model         | m                                                      |
      | prompt.tokens        | 1460                                                   |
      | prompt.output_tokens | 80                                                     |
      | prompt.parts         | (('5c1e07a2', 800), ('91bd3f06', 410), ('e4402b7d', 250)) |

  Scenario: Malformed request headers are ignored
    When these request headers are decoded
      | name                       | value        |
      | Last-Event-Id              | twelve       |
      | Sapphirerock-Token-Usage   | many         |
      | Sapphirerock-Prompt-Prefix | a,b:c,:,d:-1 |
      | Sapphirerock-Deadline-Ms   | -5           |
      | Authorization              | Basic abc    |
    Then the decoded fields are
      | field                | value                  |
      | caller_timeout_s     | None                   |
      | key                  | None                   |
      | last_event_id        | None                   |
      | prompt.tokens        | 0                      |
      | prompt.output_tokens | 0                      |

  Scenario Outline: Events are split regardless of how their bytes arrive: <text> in pieces of <size>
    When the bytes <text> are split in pieces of <size>
    Then the events are <events> and a partial event remains: <partial>

    Examples:
      | text                                  | size | events | partial |
      | id: 1\ndata: a\n\nid: 2\ndata: b\n\n  | 1    | 1,2    | no      |
      | id: 1\ndata: a\n\nid: 2\ndata: b\n\n  | 7    | 1,2    | no      |
      | id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n | 3    | 1,2    | no      |
      | id: 1\ndata: a\n\nid: 2\ndata: b      | 100  | 1      | yes     |
      | x: 3\nid:4\ndata: a\n\n               | 5    | 4      | no      |
      | : comment\n\nid: 9\n\n                | 4    | -,9    | no      |
      | : comment\nretry: 100\n\nid: 9\n\n    | 4    | -,9    | no      |
      | \n\nid: 1\ndata: a\n\n\nid: 2\n\n        | 3    | -,1,2  | no      |
      | event: e\nid: 1\ndata\ndata: {:}\n\n  | 100  | 1      | no      |

  Scenario Outline: Bytes that are no events are refused: <text>
    When the bytes <text> are split in pieces of 5
    Then they are refused as malformed, after <count> events

    Examples:
      | text                                                     | count |
      | id: 1\ndata: a\n\nerror\n\n                              | 1     |
      | error: upstream failed\n\n                               | 0     |
      | event: error\ndata: upstream failed\n\nid: 1\n\n          | 0     |
      | data: {"error":"x"}\n\n                                  | 0     |
      | id: 1\n\nHTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n | 1  |
      | HTTP/1.1 200 OK\nid: 1\ndata: a\n\n                     | 0     |
      | id: one\ndata: a\n\n                                    | 0     |
