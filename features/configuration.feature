Feature: A configuration once accepted is in force everywhere and never reverts

  Scenario: Two operators change the same cap at the same moment
    Given a cluster with targets that need 0.05 seconds
    When two operators set the cap of "costa" at the same moment
    Then both operators get a result, with the winner in case of a conflict
    And the cap that was accepted last is in force on every entry host

  Scenario: The platform's answer is lost after the change took effect
    Given a cluster with targets that need 0.05 seconds
    When the platform drops its next response to a write
    And an operator sets the cap of "costa" to 17
    Then the operator is told that the change was accepted
    And the cap of "costa" is 17 on every entry host

  Scenario: Every entry host is replaced while the platform is away
    Given a cluster with targets that need 0.05 seconds
    When an operator sets the cap of "costa" to 17
    And the platform becomes unavailable
    And every entry host is replaced, one after the other
    Then the cap of "costa" is 17 on every entry host
