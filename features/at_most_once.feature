Feature: A commission confirmation runs at most once
  A doubled confirmation wastes costly hide. A merchant who got no answer asks
  again, perhaps through another entry host.

  Scenario: A merchant asks again through another entry host
    Given a cluster with targets that need 0.2 seconds
    When a merchant confirms a commission through "quito-1"
    And the merchant repeats the confirmation through "quito-2"
    Then both answers are "done"
    And the confirmation ran once

  Scenario: The entry host dies while the confirmation runs
    Given a cluster with targets that need 1 seconds
    When a merchant's confirmation is running, sent through "quito-1"
    And the process of "quito-1" is killed
    And the merchant repeats the confirmation through "quito-2"
    Then the answer to the repetition is "unknown"
    And the confirmation ran once

  Scenario: The entry host that dies is replaced
    Given a cluster with targets that need 1 seconds
    When a merchant's confirmation is running, sent through "quito-1"
    And the process of "quito-1" is killed
    And a new process is started for the seat "quito-1"
    And the merchant repeats the confirmation through "quito-1"
    Then the answer to the repetition is "unknown"
    And the confirmation ran once

  Scenario: The entry host is frozen and wakes
    Given a cluster with targets that need 0.2 seconds
    When the process of "quito-1" is frozen
    And a merchant confirms a commission through "quito-1" without waiting
    And "quito-2" no longer receives heartbeats from "quito-1"
    And the merchant repeats the confirmation through "quito-2"
    And the process of "quito-1" wakes
    Then the answer to the repetition is "unknown"
    And the confirmation ran at most once
