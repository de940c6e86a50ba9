Feature: A leaving upstream gets no new work after a few seconds

  Background:
    Given three instances before a group of three databases
    And a table of visits

  Scenario: A replica leaves
    When the replica starts to leave
    And callers read and write until told otherwise
    Then the leaving database gets no new work after 5 seconds
    And every call was answered

  Scenario: The primary leaves
    When the primary starts to leave
    And callers read and write until told otherwise
    Then another database leads within 14 seconds
    And the leaving database gets no new work after 5 seconds
    And no promise about writes is broken
