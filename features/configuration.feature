Feature: An accepted configuration comes into force on every host and is not reverted

  Scenario: Two operators change the same cap concurrently
    Given a cluster with a service time of 0.05 seconds
    When two operators set the cap of "costa" concurrently
    Then both operators receive a result that names the winner of a conflict
    And the cap that was accepted last is in force on every entry host

  Scenario: The platform's response is lost after the change took effect
    Given a cluster with a service time of 0.05 seconds
    When the platform drops its next response to a write
    And an operator sets the cap of "costa" to 17
    Then the change of the operator is reported as accepted
    And the cap of "costa" is 17 on every entry host

  Scenario: Every entry host is replaced while the platform is unavailable
    Given a cluster with a service time of 0.05 seconds
    When an operator sets the cap of "costa" to 17
    And the platform becomes unavailable
    And every entry host is replaced, one at a time
    Then the cap of "costa" is 17 on every entry host
