Feature: A refusal that says "not run" is true
  A refused confirmation can safely be sent anew, with a new id.

  Scenario: More confirmations at one moment than the house has room for
    Given a cluster with targets that need 1 seconds
    When 90 merchants confirm a commission at the same moment
    Then every merchant gets an answer
    And no confirmation that was refused as "not run" has run
    And every confirmation that was answered "done" ran once
    And every refusal has a retry delay

  Scenario: A refused confirmation stays refused
    Given a cluster with targets that need 1 seconds
    When 90 merchants confirm a commission at the same moment
    And every refused merchant repeats the same confirmation
    Then no confirmation that was refused as "not run" has run
