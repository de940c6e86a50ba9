Feature: A request runs only for the organisation whose key came with it

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario Outline: A request without a fitting key doesn't run
    Given Mallory holds <key>
    When Mallory writes "Stolen" through instance <instance>
    Then Mallory is refused as "<reason>", not-run
    And Kari reads "nothing" through every instance

    Examples:
      | key                        | instance | reason          |
      | no key                     | 1        | missing-key     |
      | a key that was never granted | 2      | invalid-key     |
      | a key of "agenzia"         | 3        | route-forbidden |

  Scenario: A transaction belongs to its organisation
    Given Kari began a transaction through instance 1
    And Mallory holds a key of "bounded"
    When Mallory writes "Stolen" in the transaction of Kari
    Then Mallory is refused as "unknown-transaction", not-run
    When Kari commits
    Then Kari is answered
    And Kari reads "nothing" through every instance

  Scenario: An open route needs no key
    Given Kari wrote "Miso" through instance 1
    And Ola holds no key
    When Ola reads through "public" at instance 2
    Then Ola is answered
    When Ola reads through "shared" at instance 2
    Then Ola is refused as "missing-key", not-run
