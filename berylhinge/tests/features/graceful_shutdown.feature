Feature: Every planned stop is a graceful shutdown that cuts no request

  Scenario: An instance is shut down under load
    Given a fresh system of 2 instances
    And a table of visits
    When callers read and write until told otherwise
    And Kari begins a transaction through instance 1
    And Kari writes "Miso" in the transaction
    And instance 1 is shut down
    And Kari commits
    Then Kari is answered
    And the instance has stopped within 30 seconds
    And every call was answered or found the instance gone
    And no promise about writes is broken
