Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: The log is out of service
    Given 3 hosts in 3 data centres
    And a change of the configuration is in force everywhere
    When the log is out of service
    And a caller sends a registration to its owner
    And the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the change is still in force everywhere

  Scenario: A host starts while the log is out of service
    Given 3 hosts in 3 data centres
    And host3 is stopped
    And a change of the configuration is in force everywhere
    When the log is out of service
    And host3 is started
    Then the change is in force on host3
    And all hosts have the same configuration

  Scenario: The log comes back after an outage
    Given 3 hosts in 3 data centres
    And the log is out of service
    When the log is in service again
    Then a change of the configuration is in force everywhere
    And all hosts have the same configuration

  Scenario: The answer to an append is lost and the operator repeats it
    Given 3 hosts in 3 data centres
    And the log loses the next answer to an append
    When an operator publishes a change, gets no answer, and publishes it again
    Then the change is in force once
    And all hosts have the same configuration

  Scenario: Two operators change the same item at once
    Given 3 hosts in 3 data centres
    When two operators publish changes of the same version of an endpoint
    Then the first change is in force and the second is not
    And all hosts have the same configuration
