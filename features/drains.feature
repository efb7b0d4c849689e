Feature: A planned stop cuts no request in flight

  Scenario: An entry host is stopped while it serves
    Given a house with targets that need 0.5 seconds
    When merchants keep reading statuses
    And the process of "quito-1" is told to stop
    And the process of "quito-1" has ended by itself
    And the merchants stop
    Then no status that was being read was cut off

  Scenario: A target announces that it is leaving
    Given a house with targets that need 0.05 seconds
    When merchants keep reading statuses
    And the target "saddles" announces that it is leaving
    And 3 seconds pass
    Then the target "saddles" gets no new work
    And the merchants stop

  Scenario: An operator drains a target while the platform's host list is silent
    Given a house with targets that need 0.05 seconds
    When merchants keep reading statuses
    And an operator drains the target "saddles"
    And 3 seconds pass
    Then the target "saddles" gets no new work
    And the merchants stop
