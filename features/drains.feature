Feature: Graceful shutdown and drains interrupt no request in flight

  Scenario: An entry host shuts down under load
    Given a cluster with a service time of 0.5 seconds
    When merchants read statuses continuously
    And the process of "quito-1" receives SIGTERM
    And the process of "quito-1" exits
    And the merchants stop reading
    Then no status read was interrupted

  Scenario: A target announces that it is leaving
    Given a cluster with a service time of 0.05 seconds
    When merchants read statuses continuously
    And the target "saddles" announces that it is leaving
    And 3 seconds pass
    Then the target "saddles" receives no new requests
    And the merchants stop reading

  Scenario: An operator drains a target that the platform's host list does not show as leaving
    Given a cluster with a service time of 0.05 seconds
    When merchants read statuses continuously
    And an operator drains the target "saddles"
    And 3 seconds pass
    Then the target "saddles" receives no new requests
    And the merchants stop reading
