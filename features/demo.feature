Feature: What a newcomer runs first

  Scenario: The demo ends well
    When the demo is run
    Then it shows a whole generation, one order and a whole stream
