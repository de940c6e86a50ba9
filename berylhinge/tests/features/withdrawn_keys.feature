Feature: A withdrawn key stops working within seconds, even on connected callers

  Background:
    Given three instances before a group of three databases
    And a table of visits
    And Kari holds a new key of "kattevakt"

  Scenario: The caller stays connected
    Given Kari wrote "Miso" through instance 1
    And Kari read "Miso" through every instance
    When the key of Kari is withdrawn
    Then Kari is refused everywhere within 9 seconds

  Scenario: The caller has a transaction open
    Given Kari began a transaction through instance 2
    And Kari wrote "Half" in the transaction
    When the key of Kari is withdrawn
    Then no database holds a transaction within 9 seconds
    When Kari commits
    Then Kari is refused
    And Ola reads "nothing" through every instance

  Scenario: The key is withdrawn while the store is down
    Given Kari wrote "Miso" through instance 1
    And the store is down
    When the key of Kari is withdrawn at instance 2
    Then Kari is refused everywhere within 9 seconds

  Scenario: The key is withdrawn while the store is slow
    Given the store answers 0.5 seconds late
    When the key of Kari is withdrawn
    Then Kari is refused everywhere within 9 seconds
