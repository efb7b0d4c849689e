Feature: A commission confirmation runs at most once
  A confirmation that runs twice wastes expensive leather. A merchant who received
  no answer retries, possibly through another entry host.

  Scenario: A merchant retries through another entry host
    Given a cluster with a service time of 0.2 seconds
    When a merchant confirms a commission through "quito-1"
    And the merchant retries the confirmation through "quito-2"
    Then both outcomes are "done"
    And the confirmation ran once

  Scenario: The entry host is killed while the confirmation runs
    Given a cluster with a service time of 1 seconds
    When a merchant's confirmation is running, sent through "quito-1"
    And the process of "quito-1" is killed
    And the merchant retries the confirmation through "quito-2"
    Then the outcome of the retry is "unknown"
    And the confirmation ran once

  Scenario: The killed entry host is replaced
    Given a cluster with a service time of 1 seconds
    When a merchant's confirmation is running, sent through "quito-1"
    And the process of "quito-1" is killed
    And a new process is started for the seat "quito-1"
    And the merchant retries the confirmation through "quito-1"
    Then the outcome of the retry is "unknown"
    And the confirmation ran once

  Scenario: The entry host is suspended and resumes
    Given a cluster with a service time of 0.2 seconds
    When the process of "quito-1" is suspended
    And a merchant confirms a commission through "quito-1" without waiting
    And "quito-2" no longer receives heartbeats from "quito-1"
    And the merchant retries the confirmation through "quito-2"
    And the process of "quito-1" resumes
    Then the outcome of the retry is "unknown"
    And the confirmation ran at most once
