Feature: Messages on the load of engines stay few while hosts start and stop

  Scenario: Loads of another zone do not circulate while hosts disagree about the hubs
    Given two hosts of a zone that each take only themselves for a hub
    When the hub of another zone sends its loads to both
    Then each host receives at most 2 messages, and knows the loads
