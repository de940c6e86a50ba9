Feature: A refusal that says "not run" is true

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario: Callers write through a failover and a partition
    When 6 callers write 10 times each through every instance
    And the primary is cut off from the other databases
    Then another database leads within 14 seconds
    When all faults end
    And the primary goes down
    Then another database leads within 14 seconds
    And every call ends within 60 seconds
    And no promise about writes is broken

  Scenario: Callers write while the primary loses answers
    Given the primary loses its answer to the next 5 writes
    When 6 callers write 5 times each through every instance
    Then every call ends within 60 seconds
    And no promise about writes is broken

  Scenario: The primary restarted while its connections were idle
    Given Kari wrote "Miso" through instance 1
    And Ola wrote "Tofu" through instance 2
    And the primary restarts
    Then Kari can write "Pus" through instance 1 within 14 seconds
    And Ola can write "Mons" through instance 2 within 14 seconds
    And no promise about writes is broken

  Scenario: One instance alone can't reach the primary
    Given the primary is cut off from instance 1
    When Kari writes "Miso" through instance 1 within 1 seconds
    And Ola writes "Tofu" through instance 2 within 1 seconds
    Then Ola is answered
    And no promise about writes is broken
    And no term had two primaries
