Feature: A draining endpoint receives no new requests after a few seconds

  Scenario: The configuration marks the endpoint as draining
    Given 3 hosts in 3 data centres
    And a second endpoint of the plain service
    And a caller sends 8 concurrent registrations
    And each registration is answered and was executed exactly once
    When the configuration marks the first endpoint as draining
    And its broker reports it as draining
    And a caller sends 8 concurrent registrations
    Then each registration is answered and was executed exactly once
    And the first endpoint received none of them

  Scenario: The host list marks the endpoint as draining while the log is unavailable
    Given 3 hosts in 3 data centres
    And a second endpoint of the plain service
    And a caller sends 8 concurrent registrations
    And each registration is answered and was executed exactly once
    And the log is unavailable
    When the host list marks the first endpoint as draining
    And its broker reports it as draining
    And a caller sends 8 concurrent registrations
    Then each registration is answered and was executed exactly once
    And the first endpoint received none of them
