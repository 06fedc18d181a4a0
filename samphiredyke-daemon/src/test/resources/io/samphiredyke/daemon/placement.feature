Feature: A payload stays in the data centres that its service permits

  Scenario: A host elsewhere refuses a request by its head and names the right hosts
    Given 3 hosts in 3 data centres and services limited to data centre dc1
    And a caller has a ticket for a chat request
    When the caller sends only the head of the request to host2
    Then the answer's status is 421
    And the answer names the address of host1 only

  Scenario: A data centre is taken away from a service while requests wait for its endpoint
    Given 3 hosts in 3 data centres
    And the plain service takes 1 call at a time, for 4 seconds each
    And a caller sends 3 registrations at once without waiting
    And one of them has begun
    When the registrations are limited to data centre dc2
    Then one registration is answered, and the others are told "no" and did not run
    And no host saw an invariant broken
