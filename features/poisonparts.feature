Feature: A prompt part that crashes engines is found in requests that are all different

  Scenario: Requests with a part that crashes engines are refused, and sound ones are served
    Given a shared platform with 3 edges and 6 model engines in 3 zones that crash on a prompt part
    When 8 different requests with the part are sent through the edges in turn, beside sound ones
    Then they crashed at most 5 engines, and the last 3 were refused
    And the sound requests were served, with the same first part or without it
