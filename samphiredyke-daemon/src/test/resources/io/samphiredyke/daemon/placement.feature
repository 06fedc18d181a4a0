Feature: A payload is sent only to data centres that its service permits

  Scenario: A host in another data centre refuses a request by its head and names the permitted hosts
    Given 3 hosts in 3 data centres and services limited to data centre dc1
    And a caller has a ticket for a chat request
    When the caller sends only the head of the request to host2
    Then the response status is 421
    And the response names only the address of host1

  Scenario: A data centre is removed from a service while requests wait for its endpoint
    Given 3 hosts in 3 data centres
    And the plain service processes 1 call at a time, for 4 seconds each
    And a caller sends 3 concurrent registrations without waiting
    And the endpoint has started to process one of them
    When the registrations are limited to data centre dc2
    Then one registration is answered, the others have the execution status "no" and no effect
    And no host detected an invariant violation
