Feature: Every caller gets the whole answer to its own request and no other

  Scenario: The engine's stream is cut again and again
    Given 3 hosts in 3 data centres
    And the engine cuts each stream after 10 tokens
    And a caller sends a chat request to its owner
    When the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once
    And no host saw an invariant broken

  Scenario: A caller whose connection was cut resumes after the last event that it got
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has begun to work on it
    When the caller resumes the stream at the owner after event 7
    Then it gets the rest of the answer from event 8 on
    And the request ran once

  Scenario: A caller resumes at the first successor after the owner died
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has begun to work on it
    When the owner dies
    And the caller resumes the stream at the first successor after event 7
    Then it gets the rest of the answer from event 8 on
    And the request ran once

  Scenario: A caller asks twice at the same time
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the caller repeats the request at the owner
    Then the caller gets the whole answer to its request
    When the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once

  Scenario: Another customer asks for the request
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has begun to work on it
    When another customer repeats the request at the owner
    Then the answer's status is 404
    When the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once
