Feature: Immutable records behave as frozen dataclasses do and are cheaper to make

  Scenario: One method of a record is compiled
    Given a class of 4 annotated fields
    When it is made a record
    Then Python has compiled 1 piece of source

  Scenario Outline: A record behaves as a frozen dataclass does: <operation>
    Given a record and a frozen dataclass with the same fields and defaults
    When this is done with each: <operation>
    Then the outcome is the same

    Examples:
      | operation                                           |
      | repr(make(1, 2))                                    |
      | make(1, 2) == make(1, 2)                            |
      | make(1, 2) == make(1, 3)                            |
      | make(1, 2) == (1, 2)                                |
      | make(1, b=2) == make(a=1, b=2, c=[])                |
      | make(1, 2).c is make(1, 2).c                        |
      | len({make(1, 2, ()), make(1, 2, ()), make(2, 2, ())}) |
      | hash(make(1, 2))                                    |
      | setattr(make(1, 2), 'a', 3)                         |
      | delattr(make(1, 2), 'a')                            |
      | make()                                              |
      | make(1, 2, 3, 4, 5)                                 |
      | make(1, 2, other=3)                                 |
      | make(1, 2).__dict__                                 |
      | make(1, 2).sum                                      |
      | make.__match_args__                                 |
      | [item.name for item in fields(make)]                |
      | astuple(make(1, 2, (3,)))                           |
      | repr(replace(make(1, 2), b=5))                      |
      | make(self_reference := [], 2, self_reference) != 0  |
      | single(nan) == single(nan)                          |
      | hash(single(7))                                     |
      | empty() == empty()                                  |
      | hash(empty())                                       |
      | repr(empty())                                       |
      | repr(failure('cause'))                              |
      | raise_and_catch(failure('cause'))                   |
      | derived(1, 2) == make(1, 2)                         |
      | repr(derived(1, 2))                                 |
      | setattr(derived(1, 2), 'a', 3)                      |
