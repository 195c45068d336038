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
      | its caller takes it up without the id of its first attempt        | 0       | every event arrives once       |
      | its caller takes it up twice, since the second host is killed too | 0       | every event arrives once       |
      | its caller takes it up after the engine with the copy has crashed | 1       | every event arrives once       |
      | it is taken up with another body                                  | 1       | no engine goes on from its copy |
      | it is taken up at two hosts at once                               | 1       | one engine goes on from its copy |
