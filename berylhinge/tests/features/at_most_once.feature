Feature: A request marked as non-idempotent runs at most once

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario: The answer is lost after the write was applied
    Given the primary loses its answer to the next 1 writes
    When Kari writes "Miso" through instance 1
    Then Kari is refused as "answer-lost", unknown
    And the write of Kari ran 1 time
    And Ola reads "Miso" through every instance

  Scenario: An idempotent write is tried again
    Given the primary loses its answer to the next 1 writes
    When Kari writes "Miso" as idempotent through instance 1
    Then Kari is answered
    And no promise about writes is broken

  Scenario: The answer to a commit is lost
    Given Kari began a transaction through instance 1
    And Kari wrote "Miso" in the transaction
    And the primary loses its answer to the next 1 writes
    When Kari commits
    Then Kari is refused as "answer-lost", unknown
    And the write of Kari ran 1 time
    And Ola reads "Miso" through every instance

  Scenario: The primary dies between applying a write and answering
    When the primary goes down between applying and answering "Miso"
    Then every call ends within 20 seconds
    And another database leads within 14 seconds
    And no promise about writes is broken
