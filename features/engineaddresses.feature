Feature: The engine that started last is the one to use at an address

  # Guards against taking the order in which entries arrive for the order of the starts.
  Scenario Outline: Entries of one address: <arrivals>
    When entries of engines at one address arrive: <arrivals>
    Then the engine in use at the address is <engine>
    And the ended starts that were reported are <reported>

    Examples:
      | arrivals                                                       | engine | reported |
      | a born 1000 at 5, b born 2000 at 9                             | b      | a        |
      | b born 2000 at 9, a born 1000 at 5                             | b      | a        |
      | b born 2000 at 9, a born 1000 at 5, a deleted                  | b      | a        |
      | b born 2000 at 9, a born 1000 at 5, b deleted                  | a      | a        |
      | b born 2000 at 9, a born 1000 at 12                            | b      | a        |
      | a born 1000 at 5, b born 2000 at 9, a born 1000 at 12          | b      | a        |
      | c born 3000 at 9, a born 1000 at 5, b born 2000 at 7           | c      | a, b     |
      | c born 3000 at 9, a born 1000 at 5, b born 2000 at 7, c deleted | b     | a, b     |
      | b born 2000 at 9, a born 1000 at 5, b replaced                 | a      | a        |
      | b born 0 at 9, a born 0 at 5                                   | b      | none     |
      | a born 0 at 5, b born 0 at 9                                   | b      | none     |
      | b born 0 at 9, a born 1000 at 5                                | b      | none     |
      | b born 2000 at 9, a born 1000 at 5, a moves                    | b      | a        |
      | a born 1000 at 5, b born 2000 at 9, b moves                    | a      | a        |

  Scenario: Hosts that get all registrations in different orders use the same engines
    Given 40 engines that restarted at their addresses, some of them several times
    When hosts get all registrations in 50 random orders
    Then each host uses exactly the last start of each engine
