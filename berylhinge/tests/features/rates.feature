Feature: No organisation gets more than its rate and burst across all instances

  Background:
    Given three instances before a group of three databases
    And a table of visits
    And Bo holds a key of "bounded"

  Scenario: An organisation floods every instance
    When Bo floods every instance with reads for 1 seconds
    Then "bounded" got no more than its rate and burst
    And Kari can write "Miso" within 14 seconds

  Scenario: The store is down
    Given the store is down
    When Bo floods every instance with reads for 1 seconds
    Then "bounded" got no more than its rate and burst
