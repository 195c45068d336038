Feature: The demo script

  A new user runs the demo first, so it has to work in every version.

  Scenario: The demo script succeeds
    When the demo script runs
    Then it reports a complete generation, one executed order and a complete stream
