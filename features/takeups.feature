Feature: A stream whose host has died goes on from its KV copy at another host

  # Guards against prompts that are read again although the engine that kept the copy of
  # the run still has it, and against a run that goes on from another request's memory.
  Scenario Outline: The host of a stream is killed, and <take-up>
    Given a shared platform with 3 edges and 4 model engines in one zone
    When a stream of 300 events is read up to event 60, and its host is killed
    And <take-up>
    Then the take-ups read <prompts> prompts and <result>

    Examples:
      | take-up                                                          | prompts | result                         |
      | its caller takes it up                                            | 0       | every event arrives once       |
      | its caller takes it up without the id of its first attempt        | 1       | no engine goes on from its copy |
      | its caller takes it up twice, since the second host is killed too, and names the first attempt | 0 | every event arrives once |
      | its caller takes it up twice, since the second host is killed too, and names the attempt before | 0 | every event arrives once |
      | its caller takes it up twice, since the second host is killed too, and names no attempt | 2 | no engine goes on from its copy |
      | its caller takes it up after the engine with the copy has crashed | 1       | every event arrives once       |
      | its caller takes it up with the id of an attempt that no host knows | 1     | no engine goes on from its copy |
      | it is taken up with another body                                  | 1       | no engine goes on from its copy |
      | it is taken up at two hosts at once                               | 1       | one engine goes on from its copy |

  # Guards against a stream that goes on from the run of another caller who sent the same
  # request: the content of a request does not show which run its caller has read.
  Scenario Outline: Two callers send the same request, and one host is killed: <second>, <take-up>
    Given a shared platform with 3 edges and 4 model engines in one zone
    When a caller reads a stream, another caller <second>, and the first one's host is killed
    And the first caller <take-up>
    Then <copies> engine goes on from the copy of a run that the first caller has read
    And no engine goes on from the copy of another caller's run

    Examples:
      | second                                      | take-up                                     | copies |
      | sends the same 0.3 s later                  | takes its stream up and names no attempt    | 0      |
      | sends the same 0.3 s later                  | takes its stream up and names the attempt   | 1      |
      | sent the same 0.3 s earlier                 | takes its stream up and names no attempt    | 0      |
      | sent the same 0.3 s earlier                 | takes its stream up and names the attempt   | 1      |
      | sends the same 20 ms before the kill        | takes its stream up and names no attempt    | 0      |
      | sends the same 20 ms before the kill        | takes its stream up and names the attempt   | 1      |
      | sends the same 0.3 s later                  | names an attempt that no host knows         | 0      |

  Scenario: A stream whose caller names no attempt goes on at the engine with its prompt
    Given a shared platform with 3 edges and 4 model engines in one zone
    When a stream of 300 events is read up to event 60, and its host is killed
    And its caller takes it up without the id of its first attempt
    Then it goes on at the engine that began it

  Scenario Outline: Which KV copy a stream that its caller takes up goes on from: <recorded>, <content>
    When the record of the stream that a caller names is <recorded>, and its request <content>
    Then the stream goes on from <copy>, because of: <reason>

    Examples:
      | recorded              | content                   | copy        | reason                                       |
      | that of a run with a copy | is that of the run    | the copy    | copy of the stream's latest run              |
      | that of a run with a copy | differs from the run's | no copy    | the copy is of another request               |
      | that of a run without a copy | is that of the run | no copy     | no copy of a run that the caller names is known |
      | unknown               | is that of the run        | no copy     | no copy of a run that the caller names is known |

  Scenario Outline: The record of a stream names the copy of its latest run: <history>
    Given two hosts of a zone and one of another zone that exchange origins
    When streams are recorded in this order: <history>
    Then every host knows the copy <copy> for stream 1

    Examples:
      | history                                                        | copy |
      | 1 begins at a-1                                                | of 1 |
      | 1 begins at a-1, 2 takes up 1 at b-1                           | of 2 |
      | 1 begins at a-1, 2 takes up 1 at b-1, 3 takes up 1 at a-2      | of 3 |
      | 1 begins at a-1, 2 takes up 1 at b-1, 3 takes up 2 at a-2      | of 2 |
      | 1 begins at a-1, 2 takes up 1 at b-1, 1 changes at a-1         | of 2 |
      | 1 begins at a-1, 1 changes at a-1                              | of 1 |
      | 1 begins at a-1, 2 takes up 1 without a copy at b-1            | none |
      | 1 begins at a-1, 2 takes up 1 without a copy at b-1, 1 changes at a-1 | none |
      | 1 begins at a-1, 2 takes up 1 with another request at b-1      | of 1 |
      | 1 begins at a-1, 2 begins at a-2                               | of 1 |
      | 1 begins unheard at a-1, 2 takes up 1 at b-1                   | of 2 |

  Scenario: The record of a stream that is taken up does not keep records of others
    Given a host that exchanges origins
    When streams 1 and 2 begin on it, and 15 seconds later 1 is taken up
    Then 10 seconds later it has the record of 1, and none of 2
