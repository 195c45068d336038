Feature: The ledger and the journal against naive versions

  Scenario Outline: The ledger against one dictionary: <faults>
    Given a store in memory with <faults>
    Then over <examples> schedules no key has two claimants, as in one dictionary

    Examples:
      | faults                               | examples |
      | no faults                            | 100      |
      | lost answers                         | 150      |
      | lost answers and outages             | 150      |
      | lost answers, outages, stale reads   | 150      |

  Scenario: Buckets that split keep every claim and stay below a megabyte
    Given a store in memory with lost answers
    Then 400 claims from 3 hosts stand once each after splits

  Scenario: Claims are committed in groups
    Given a store in memory with no faults
    Then 600 claims at once take at most 200 writes

  Scenario: The journal against one list
    Then over 300 schedules of late, doubled and crossed messages a caller that goes on has one list's tokens

  Scenario: Tokens from an engine against one list
    Then over 300 schedules of repeated, late and early events a generation takes each token once

  Scenario: Claims older than a day are pruned by the next write
    Given a store in memory with no faults
    Then of 50 claims a day old and 5 new ones in one bucket the new ones stand
