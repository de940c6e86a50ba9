Feature: A session always gets read-your-writes, whichever instance serves it

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario: A replica lags by seconds
    Given one replica lags by 3 seconds
    When Kari writes "Miso" through instance 1
    Then Kari is answered
    And Kari reads "Miso" through every instance
    And Kari reads "Miso" without a session through every instance

  Scenario: Both replicas lag, so that no write is confirmed for a while
    Given the replicas lag by 1 seconds
    When Kari writes "Miso" through instance 1
    Then Kari is answered
    And Kari reads "Miso" through every instance
    And Ola reads "Miso" without a session through every instance

  Scenario: The primary dies after the write
    Given Kari wrote "Miso" through instance 2
    When the primary goes down
    Then Kari reads "Miso" through every instance
    And another database leads within 14 seconds
    And Kari can write "Tofu" within 14 seconds
    And Kari reads "Miso, Tofu" through every instance
    And no promise about writes is broken

  Scenario: The store is down between a write and its reads
    Given the store is down
    When Kari writes "Miso" through instance 3
    Then Kari is answered
    And Kari reads "Miso" through every instance
