Feature: A caller gets the whole answer to its own request

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario Outline: The databases' answers are <fault>
    Given every database <does>
    When 6 callers write and read their own 5 times through every instance
    Then every call ends within 60 seconds
    And every answer belongs to its request
    And no promise about writes is broken

    Examples:
      | fault      | does                             |
      | repeated   | sends its next 3 answers twice  |
      | mislabelled | mislabels its next 3 answers    |
      | late       | answers 0.05 seconds late        |

  Scenario: A late answer of a timed-out request reaches nobody else
    Given every database answers 0.15 seconds late
    When Kari writes "Late" through instance 1 within 0.1 seconds
    Then Kari is refused
    When 6 callers write and read their own 2 times through every instance
    Then every call ends within 60 seconds
    And every answer belongs to its request
    And no promise about writes is broken
