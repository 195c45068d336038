Feature: The verdict passes over known faults and nothing else

  Scenario Outline: A scenario that <status> and <listed> listed
    Given a result that <status> and <listed> listed as known
    Then <passed> passed and <failed> failed, and <note> is printed

    Examples:
      | status | listed | passed | failed | note          |
      | passed | is not | 1      | 0      | nothing       |
      | failed | is not | 0      | 1      | failed:       |
      | error  | is not | 0      | 1      | failed:       |
      | failed | is     | 0      | 0      | known fault:  |
      | passed | is     | 0      | 1      | but passes:   |

  Scenario: No result at all is a failure
    Given no result
    Then 0 passed and 1 failed, and no scenario was run is printed
