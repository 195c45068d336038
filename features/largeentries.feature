@alone
Feature: Large entries of other writers end no host and stop none

  # Guards against entries whose reading takes a host over its memory (review/11), whose
  # contents do so as long as they stand (review/12), and whose reading keeps a host from
  # answering (review/14). The host has the memory of the smallest machine.
  Scenario Outline: A host reads <count> entries of <size> bytes: <content>
    Given a host of 128 MB and 200 descriptors
    When <count> entries of <size> bytes are written among the engines, and change 4 times: <content>
    Then the edge is still running
    And the edge never used more than 128 MB and 200 descriptors
    And every order is served, at most 1.5 s after it was sent

    Examples: Entries that can't be read
      | count | size    | content                                |
      | 1     | 1048576 | a long text and an unpaired surrogate  |
      | 1     | 1048576 | escapes after an unpaired surrogate    |
      | 2     | 1048576 | numbers after an unpaired surrogate    |
      | 2     | 1048576 | arrays within each other               |
      | 2     | 1048576 | deep arrays with many strings          |

    Examples: Entries with a field of another type
      | count | size    | content                                |
      | 6     | 1048576 | a list of empty objects as slots       |
      | 24    | 260000  | a list of empty objects as slots       |
      | 6     | 1048576 | arrays of a few levels as slots        |

    Examples: Sound entries
      | count | size    | content                                |
      | 8     | 1048576 | a list of empty objects nobody reads   |
      | 6     | 1048576 | many models                            |
      | 6     | 1048576 | many members                           |

  # Guards against content that takes long to read although the next one does not.
  Scenario Outline: An entry of 1 MB takes less than 0.5 s to read: <content>
    When a list and a watch have an entry of 1048576 bytes between two others: <content>
    Then each of them is read within 0.5 s of processor time
    And the two others are decoded

    Examples:
      | content                                |
      | a long text and an unpaired surrogate  |
      | escapes after an unpaired surrogate    |
      | numbers after an unpaired surrogate    |
      | arrays within each other               |
      | deep arrays with many strings          |
      | a list of empty objects as slots       |
      | arrays of a few levels as slots        |
      | a comb of arrays                       |
      | objects within each other              |
      | many models                            |
      | many members                           |

  Scenario: A watch with more than 4 MB of changes is followed by a list
    Given a shared platform with 1 edge and 1 engine of each service
    When 6 entries of 1048576 bytes are written among the engines at once
    Then the edge logs "changes too large for a watch, listed instead"
    When another engine registers, and the first one is lost
    Then calls reach the new engine within 3 seconds
