Feature: No organisation gets more than its rate and burst across all instances

  Scenario: An organisation floods every instance
    Given three instances before a group of three databases
    And a table of visits
    And Bo holds a key of "bounded"
    When Bo floods every instance with reads for 1 seconds
    Then "bounded" got no more than its rate and burst
    And Kari can write "Miso" within 14 seconds

  Scenario: An organisation floods every instance during an outage of the store
    Given three instances before a group of three databases
    And a table of visits
    And Bo holds a key of "bounded"
    And the store is down
    When Bo floods every instance with reads for 1 seconds
    Then "bounded" got no more than its rate and burst

  Scenario: An organisation inside its rate is served by every instance
    Given a fresh system of 3 instances
    And a table of visits
    When 6 callers write 3 times each through every instance
    Then every call ends within 60 seconds
    And every call was answered
