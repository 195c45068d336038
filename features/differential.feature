Feature: The order ledger and the journal agree with simple reference models

  Guards against orders that run twice, and answers that mix tokens of two drivers,
  under schedules of faults that no single example covers.

  Scenario Outline: The order ledger agrees with a dictionary: <faults>
    Given an in-memory store with <faults>
    Then in <examples> schedules no key has two claimants, as in a dictionary

    Examples:
      | faults                                  | examples |
      | no faults                               | 100      |
      | lost responses                          | 150      |
      | lost responses and outages              | 150      |
      | lost responses, outages and stale reads | 150      |

  Scenario: Split buckets keep every claim and stay below one megabyte
    Given an in-memory store with lost responses
    Then each of 400 claims from 3 hosts is stored once after splits

  Scenario: Claims are committed in groups
    Given an in-memory store with no faults
    Then 600 simultaneous claims take at most 200 writes

  Scenario: The journal agrees with a list
    Then in 300 schedules of late, repeated and reordered messages the caller's tokens are a prefix of the journal

  Scenario: A generation's tokens agree with a list
    Then in 300 schedules of repeated, late and early events a generation accepts each token once

  Scenario: Claims older than a day are pruned by the next write
    Given an in-memory store with no faults
    Then of 50 claims a day old and 5 new ones in one bucket only the new ones remain
