Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario: Changes follow each other quickly
    When 5 changes of the configuration are accepted
    Then the configuration is in force everywhere within 9 seconds
    And no instance ever went back to an older version

  Scenario: The store goes down right after the change
    When 1 changes of the configuration are accepted
    And the configuration has reached one instance
    And the store goes down
    Then the configuration is in force everywhere within 9 seconds
    And no instance ever went back to an older version

  Scenario: The store answers late
    Given the store answers 0.5 seconds late
    When 2 changes of the configuration are accepted
    Then the configuration is in force everywhere within 9 seconds
    And no instance ever went back to an older version
