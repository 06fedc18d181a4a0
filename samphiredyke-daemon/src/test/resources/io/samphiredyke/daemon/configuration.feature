Feature: An accepted configuration becomes active on all hosts and never reverts

  Scenario: The log is unavailable
    Given 3 hosts in 3 data centres
    And a change of the configuration is active on all hosts
    When the log is unavailable
    And a caller sends a registration to its owner
    And the caller waits for the response
    Then the caller receives the complete response to its request
    And the change is still active on all hosts

  Scenario: A host starts while the log is unavailable
    Given 3 hosts in 3 data centres
    And host3 is stopped
    And a change of the configuration is active on all hosts
    When the log is unavailable
    And host3 is started
    Then the change is active on host3
    And all hosts have the same configuration

  Scenario: The log recovers from an outage
    Given 3 hosts in 3 data centres
    And the log is unavailable
    When the log is available again
    Then a change of the configuration is active on all hosts
    And all hosts have the same configuration

  Scenario: The response to an append is lost and the operator retries it
    Given 3 hosts in 3 data centres
    And the log loses the next response to an append
    When an operator publishes a change, receives no response, and publishes it again
    Then the change is active once
    And all hosts have the same configuration

  Scenario: Two operators change the same item concurrently
    Given 3 hosts in 3 data centres
    When two operators publish changes based on the same version of an endpoint
    Then the first change is active and the second is not
    And all hosts have the same configuration
