@alone
Feature: Large entries of other writers end no host

  # Guards against an entry whose reading takes a host over its memory (review/11). The
  # host has the memory of the smallest machine.
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
