Feature: Everyone gets the whole answer to their own request

  Scenario: Many directors open packs at once and answers come out of order
    Given a cluster with targets that need 0.02 seconds
    When 100 directors open packs of different sizes at the same moment
    Then each director who got a pack got their own complete pack

  Scenario: Two arrivals of one id carry different bodies
    Given a cluster with targets that need 0.2 seconds
    When two directors use the same request id for different packs
    Then each director who got a pack got their own complete pack
