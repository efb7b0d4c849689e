Feature: A request refused as "not run" is never executed
  A refused confirmation can therefore safely be sent again with a new id.

  Scenario: Concurrent confirmations exceed the capacity of the cluster
    Given a cluster with a service time of 1 seconds
    When 90 merchants confirm a commission concurrently
    Then every merchant receives an answer
    And no confirmation that was refused as "not run" has run
    And every confirmation that was answered "done" ran once
    And every refusal has a retry delay

  Scenario: A retry of a refused confirmation is not executed either
    Given a cluster with a service time of 1 seconds
    When 90 merchants confirm a commission concurrently
    And every refused merchant retries with the same request id
    Then no confirmation that was refused as "not run" has run
