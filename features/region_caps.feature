Feature: No steering decision overloads a region

  Scenario: The whole audience arrives at once
    Given a cluster with caps of 5 and targets that need 0.1 seconds
    When 120 merchants read a status at the same moment
    Then no region had more than 5 in flight

  Scenario: An entry host is frozen and wakes in the surge
    Given a cluster with caps of 5 and targets that need 0.2 seconds
    When merchants keep reading statuses
    And the process of "quito-1" is frozen for 4 seconds
    And the merchants stop
    Then no region had more than 5 in flight

  Scenario: An entry host is killed and replaced in the surge
    Given a cluster with caps of 5 and targets that need 0.2 seconds
    When merchants keep reading statuses
    And the process of "quito-1" is killed
    And a new process is started for the seat "quito-1"
    And 2 seconds pass
    And the merchants stop
    Then no region had more than 5 in flight

  Scenario: The platform is away
    Given a cluster with caps of 5 and targets that need 0.1 seconds
    When the platform becomes unavailable
    And 60 merchants read a status at the same moment
    Then no region had more than 5 in flight
    And some statuses were read
