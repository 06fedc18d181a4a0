Feature: Every request is dispatched at most once

  A caller that lost its connection retries its request under the same id. Whatever failed before,
  the endpoints execute the request at most once, and the caller receives its true execution status.

  Scenario: The owner of a chat request crashes while the engine processes it
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has started to process the request
    When the owner crashes
    And the caller retries the request at the first successor
    Then the caller receives the complete response to its request
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: The owner of a registration crashes after the registration took effect
    Given 3 hosts in 3 data centres
    And a caller sends a registration to its owner
    And the endpoint has started to process the request
    When the owner crashes
    And the caller retries the request at the first successor
    Then the caller receives the complete response to its request
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: The owner crashes before it receives the request
    Given 3 hosts in 3 data centres
    And a caller has a ticket for a chat request
    When the owner crashes
    And the caller retries the request at the first successor
    Then the caller receives the complete response to its request
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: The owner is silent to the caller alone, which sends a new request to the first successor
    Given 3 hosts in 3 data centres
    And a caller has a ticket for a chat request
    When the caller retries the request at the first successor
    Then the caller receives the complete response to its request
    When the caller retries the request at the owner
    Then the response status is 421
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: The owner crashes after it recorded its intent, and the request never arrives
    Given 3 hosts in 3 data centres
    And the plain service is behind a proxy that forwards no data
    And a caller sends a registration to its owner
    And the owner has dispatched the request to the proxy
    When the owner crashes
    And the proxy drops the data in transit and works again
    And the caller retries the request at the first successor
    Then the caller receives the execution status "unknown"
    And the request was not executed
    And no host detected an invariant violation

  Scenario: The response to a registration is lost after the registration took effect
    Given 3 hosts in 3 data centres
    And the plain service loses its next response after the effect
    And a caller sends a registration to its owner
    When the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: An endpoint refuses connections
    Given 3 hosts in 3 data centres
    And an endpoint for 2 concurrent calls and one that refuses connections
    When a caller sends 6 concurrent registrations
    Then each registration is answered and was executed exactly once
    And no host detected an invariant violation
