Feature: No upstream ever sees a caller's key

  Scenario: Reads, writes, transactions and refused requests
    Given three instances before a group of three databases
    And a table of visits
    And Kari wrote "Miso-seen" through instance 1
    And Ola wrote "Tofu" through instance 2
    And Liv began a transaction through instance 3
    And Liv wrote "Pus" in the transaction
    And Mallory holds a key that was never granted
    When Liv commits through instance 1
    And Mallory writes "Stolen" through instance 2
    Then Kari reads "Miso-seen, Tofu, Pus" through every instance
    And the databases have received "Miso-seen"
    And no database has received a key or a part of it
