Feature: A planned stop cuts no request in flight

  Scenario: An entry host is stopped while it serves
    Given a cluster with targets that need 0.5 seconds
    When merchants keep reading statuses
    And the process of "quito-1" receives SIGTERM
    And the process of "quito-1" exits
    And the merchants stop
    Then no status read was interrupted

  Scenario: A target announces that it is leaving
    Given a cluster with targets that need 0.05 seconds
    When merchants keep reading statuses
    And the target "saddles" announces that it is leaving
    And 3 seconds pass
    Then the target "saddles" gets no new requests
    And the merchants stop

  Scenario: An operator drains a target while the platform's host list is silent
    Given a cluster with targets that need 0.05 seconds
    When merchants keep reading statuses
    And an operator drains the target "saddles"
    And 3 seconds pass
    Then the target "saddles" gets no new requests
    And the merchants stop
