Feature: Each caller receives the complete response to its own request

  Scenario: Concurrent requests of different sizes
    Given a cluster with a service time of 0.02 seconds
    When 100 directors open packs of different sizes concurrently
    Then each director who received a pack received their own complete pack

  Scenario: Two requests with the same id have different bodies
    Given a cluster with a service time of 0.2 seconds
    When two directors use the same request id for different packs
    Then each director who received a pack received their own complete pack
