Feature: Every request is dispatched at most once

  A caller that lost its connection repeats its request under the same id. Whatever failed before,
  the endpoints execute the request once at the most, and the caller is told the truth about it.

  Scenario: The owner of a chat request dies while the engine works on it
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has begun to work on it
    When the owner dies
    And the caller repeats the request at the first successor
    Then the caller gets the whole answer to its request
    And the request ran once
    And no host saw an invariant broken

  Scenario: The owner of a registration dies after the registration took effect
    Given 3 hosts in 3 data centres
    And a caller sends a registration to its owner
    And the endpoint has begun to work on it
    When the owner dies
    And the caller repeats the request at the first successor
    Then the caller gets the whole answer to its request
    And the request ran once
    And no host saw an invariant broken

  Scenario: The owner dies before it gets the request
    Given 3 hosts in 3 data centres
    And a caller has a ticket for a chat request
    When the owner dies
    And the caller repeats the request at the first successor
    Then the caller gets the whole answer to its request
    And the request ran once
    And no host saw an invariant broken

  Scenario: The owner dies after it recorded its intent, and the request never arrives
    Given 3 hosts in 3 data centres
    And the plain service is reached over a link that holds everything back
    And a caller sends a registration to its owner
    And the owner has dispatched it into the link
    When the owner dies
    And the link works again without what was on its way
    And the caller repeats the request at the first successor
    Then the caller is told "unknown" about whether it ran
    And the request did not run
    And no host saw an invariant broken

  Scenario: The answer to a registration is lost after the registration took effect
    Given 3 hosts in 3 data centres
    And the plain service loses its next answer after the effect
    And a caller sends a registration to its owner
    When the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once
    And no host saw an invariant broken

  Scenario: An endpoint refuses connections
    Given 3 hosts in 3 data centres
    And an endpoint for 2 calls at a time and one that refuses connections
    When a caller sends 6 registrations at once
    Then each registration is answered and ran once
    And no host saw an invariant broken
