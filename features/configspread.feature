Feature: A large configuration reaches all hosts of a zone over a narrow link

  Scenario: A configuration of 1400 routes takes few bytes for each host
    Given a shared platform with 4 edges and 1 engine of each service in 1 zone
    When the configuration grows by 1400 routes
    Then each edge has it in force, and got it in at most 89 kB from its peers
