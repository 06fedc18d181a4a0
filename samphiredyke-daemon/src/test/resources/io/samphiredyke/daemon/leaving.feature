Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario: The configuration says that it leaves
    Given 3 hosts in 3 data centres
    And a second endpoint of the plain service
    And a caller sends 8 registrations at once
    And each registration is answered and ran once
    When the configuration marks the first endpoint as leaving
    And its broker knows that it leaves
    And a caller sends 8 registrations at once
    Then each registration is answered and ran once
    And the first endpoint got none of them

  Scenario: The host list says that it leaves while the log is out of service
    Given 3 hosts in 3 data centres
    And a second endpoint of the plain service
    And a caller sends 8 registrations at once
    And each registration is answered and ran once
    And the log is out of service
    When the host list marks the first endpoint as leaving
    And its broker knows that it leaves
    And a caller sends 8 registrations at once
    Then each registration is answered and ran once
    And the first endpoint got none of them
