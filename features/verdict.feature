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

  Scenario: A run without results is a failure
    Given a run without results
    Then 0 passed and 1 failed, and no scenario was run is printed

  Scenario: A listed example of an outline is recognised in the results of a run
    Given a results file with a failed example of an outline that is listed
    Then 0 passed and 0 failed, and known fault: is printed
