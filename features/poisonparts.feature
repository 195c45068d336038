Feature: A prompt part that crashes engines is found in requests that are all different

  Scenario: Requests with a part that crashes engines are refused, and sound ones are served
    Given a shared platform with 3 edges and 6 model engines in 3 zones that crash on a prompt part
    When 8 different requests with the part are sent through the edges in turn, beside sound ones
    Then they crashed at most 5 engines, and the last 3 were refused
    And the sound requests were served, with the same first part or without it

  Scenario Outline: A request is <outcome> when <history>
    Given a crash log and a request with the prompt parts A and B
    When <history>
    Then the request is <outcome>

    Examples:
      | history                                                            | outcome |
      | 2 crashes ran different requests with B                            | allowed |
      | 3 crashes ran different requests with B                            | blocked |
      | 3 crashes ran different requests with B, and an engine wrote on B  | allowed |
      | 3 crashes ran different requests with B, and an engine wrote on A  | blocked |
      | 3 crashes ran different requests with A and B                      | blocked |
      | 3 crashes ran different requests with B and C                      | allowed |
      | 3 crashes ran different requests with B and C, and an engine wrote on C | blocked |
      | 3 crashes ran another request with B                               | allowed |
      | 3 crashes of one zone at once ran different requests with B        | blocked |

  Scenario: A part that was found sound expires with the evidence
    Given a crash log and a request with the prompt parts A and B
    When an engine wrote on B, and 10 minutes later 3 crashes ran different requests with B
    Then the request is blocked

  Scenario: A part does not stay sound by being reported again
    Given a crash log and a request with the prompt parts A and B
    When another host reports twice, 5 minutes apart, that an engine wrote on B
    And 6 minutes later 3 crashes ran different requests with B
    Then the request is blocked

  Scenario: A full crash log decides on a suspect in time
    Given a crash log of 1000 crashes under one part, with 10 requests each that ran twice
    When it is asked for the evidence against the part, and for all suspects
    Then it answers within 1 second

  Scenario: A host learns that a suspect of its crash log is sound
    Given a host whose crash log holds a part that another host knows to be sound
    When the hosts exchange crash updates
    Then both hosts know that the part is sound

  Scenario: Hosts that know a new suspect to be sound announce it a few times only
    Given 40 hosts that know a prompt part to be sound, and one that does not
    When 20 engines crash under calls of the one host with the part
    Then the part was announced at most 27 times, and the one host knows that it is sound

  Scenario: Busy hosts that know a new suspect to be sound announce it a few times only
    Given 40 hosts that know a prompt part to be sound, and one that does not
    When 20 engines crash under calls of the one host with the part, and all are busy
    Then the part was announced at most 27 times, and the one host knows that it is sound

  Scenario: A host that fetches a crash log gets the sound parts of it, and no other host
    Given a host whose crash log holds a sound part
    When 10 peers fetch its crash log
    Then each of them gets the sound part, and the host announces nothing
