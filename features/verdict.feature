Feature: The verdict exempts known faults and nothing else

  Scenario Outline: A scenario with status <status> that <listed> listed
    Given a result with status <status> that <listed> listed as a known fault
    Then <passed> passed and <failed> failed, and <note> is printed

    Examples:
      | status | listed | passed | failed | note         |
      | passed | is not | 1      | 0      | nothing      |
      | failed | is not | 0      | 1      | failed:      |
      | error  | is not | 0      | 1      | failed:      |
      | failed | is     | 0      | 0      | known fault: |
      | passed | is     | 0      | 1      | but passes:  |

  Scenario Outline: A scenario with status <status> that is listed as failing in some runs
    Given a result with status <status> of a scenario that failed 2 of 5 runs
    Then <passed> passed and 0 failed, and <note> is printed

    Examples:
      | status | passed | note                                              |
      | passed | 1      | passed now, known fault:                          |
      | failed | 0      | known fault:                                      |
      | passed | 1      | seen (failed 2 of 5 runs)                         |
      | failed | 0      | seen (failed 2 of 5 runs)                         |

  Scenario Outline: An entry of the list that says <field> is refused
    Given an entry of KNOWN-RED.txt that says <field>
    Then it is refused

    Examples:
      | field               |
      | failed 0 of 5 runs  |
      | failed 5 of 5 runs  |
      | fails sometimes     |
      | failed 2 of 5 runs; another field |

  Scenario: A run without results is a failure
    Given a run without results
    Then 0 passed and 1 failed, and no scenario was run is printed

  Scenario: A listed example of an outline is recognised in the results of a run
    Given a results file with a failed example of an outline that is listed
    Then 0 passed and 0 failed, and known fault: is printed

  # The end of its output may be all that is kept of a run.
  Scenario Outline: The verdict tells why a scenario failed: <error>
    Given a results file with a scenario that <listed> listed, whose step failed with <error>
    Then 0 passed and <failed> failed, and <note> is printed in at most 700 characters

    Examples:
      | error         | listed | failed | note                                 |
      | one line      | is not | 1      | (failed): every call is served: one  |
      | two lines     | is not | 1      | every call is served: one two        |
      | two lines     | is     | 0      | seen now: every call is served: one  |
      | 9,000 letters | is not | 1      | letters                              |
      | no message    | is not | 1      | (failed): every call is served:      |

  Scenario Outline: A run on sources that change meanwhile is a failure: <change>
    Given a run with a passed scenario, during which <change>
    Then 1 passed and <failed> failed, and <note> is printed

    Examples:
      | change                    | failed | note                |
      | nothing changes           | 0      | nothing             |
      | bytecode is written       | 0      | nothing             |
      | a module is edited        | 1      | the sources changed |
      | a module is added         | 1      | the sources changed |
      | a feature is renamed      | 1      | the sources changed |

  Scenario Outline: A feature whose first line is <line> runs <manner>
    Given a feature whose first line is <line>
    Then it runs <manner>

    Examples:
      | line              | manner      |
      | @alone            | alone       |
      | @slow             | beside others |
      | Feature: A crowd  | beside others |
