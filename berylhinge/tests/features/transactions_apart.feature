Feature: Statements from different transactions never mix on one connection

  Scenario: An instance dies in the middle of a transaction
    Given a fresh system of 2 instances
    And a table of visits
    And Kari began a transaction through instance 1
    And Kari wrote "Half" in the transaction
    When instance 1 dies
    Then no database holds a transaction within 5 seconds
    And Ola can write "Whole" within 14 seconds
    And Ola reads "Whole" through every instance
    And no promise about writes is broken

  Scenario: Callers commit side by side while others write
    Given three instances before a group of three databases
    And a table of visits
    When 4 callers commit 5 transactions of 2 writes each through every instance
    And 4 callers write 10 times each through every instance
    Then every call ends within 60 seconds
    And every call was answered
    And each transaction is whole
    And no promise about writes is broken

  Scenario: A transaction sees its own changes and nobody else does
    Given three instances before a group of three databases
    And a table of visits
    And Kari began a transaction through instance 1
    And Kari wrote "Half" in the transaction
    Then Ola reads "nothing" through every instance
    When Kari rolls back
    Then Ola reads "nothing" through every instance
    And no database holds a transaction within 5 seconds

  Scenario: A transaction goes on through another instance
    Given three instances before a group of three databases
    And a table of visits
    And Kari began a transaction through instance 1
    And Kari wrote "Miso" in the transaction
    When Kari commits through instance 2
    Then Kari is answered
    And Ola reads "Miso" through every instance

  Scenario: The primary is superseded under an open transaction
    Given three instances before a group of three databases
    And a table of visits
    And Kari began a transaction through instance 1
    And Kari wrote "Half" in the transaction
    When the primary goes down
    Then another database leads within 14 seconds
    When Kari commits
    Then Kari is refused
    And Ola can write "Whole" within 14 seconds
    And Ola reads "Whole" through every instance
    And no promise about writes is broken
