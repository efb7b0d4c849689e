Feature: The weight in flight in a region never exceeds its cap

  Scenario: Many requests arrive at once
    Given a cluster with region caps of 5 and a service time of 0.1 seconds
    When 120 merchants read a status concurrently
    Then no region exceeded a weight of 5 in flight

  Scenario: An entry host is suspended and resumes under load
    Given a cluster with region caps of 5 and a service time of 0.2 seconds
    When merchants read statuses continuously
    And the process of "quito-1" is suspended for 4 seconds
    And the merchants stop reading
    Then no region exceeded a weight of 5 in flight

  Scenario: An entry host is killed and replaced under load
    Given a cluster with region caps of 5 and a service time of 0.2 seconds
    When merchants read statuses continuously
    And the process of "quito-1" is killed
    And a new process is started for the seat "quito-1"
    And 2 seconds pass
    And the merchants stop reading
    Then no region exceeded a weight of 5 in flight

  Scenario: The platform is unavailable
    Given a cluster with region caps of 5 and a service time of 0.1 seconds
    When the platform becomes unavailable
    And 60 merchants read a status concurrently
    Then no region exceeded a weight of 5 in flight
    And some statuses were read
