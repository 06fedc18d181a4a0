Feature: A request ends whole when connections go silent for good

  Scenario: Between entry and engine
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has begun to work on it
    When the open connections of the engine go silent
    And the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once

  Scenario: Between entry and plain service
    Given 3 hosts in 3 data centres
    And a caller sends a registration to its owner
    And the endpoint has begun to work on it
    When the open connections of the plain service go silent
    And the caller waits for the answer
    Then the caller gets the whole answer to its request
    And the request ran once

  Scenario: Between entry and log
    Given 3 hosts in 3 data centres
    When the open connections of the log go silent
    Then a change that is published over a new connection is in force everywhere

  Scenario: Between caller and entry
    Given 3 hosts in 3 data centres behind links that can lose connections
    And a client sends a chat request
    And the engine has begun to work on it
    When the open connections between callers and hosts go silent
    Then the client gets the whole answer, and the request ran once

  Scenario: Between entry and entry
    Given 3 hosts in 3 data centres behind links that can lose connections
    And a client has got an answer
    When the open connections between hosts go silent
    And a client sends a chat request
    Then the client gets the whole answer, and the request ran once
