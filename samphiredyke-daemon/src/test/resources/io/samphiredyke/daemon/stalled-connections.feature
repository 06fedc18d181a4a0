Feature: A request completes although connections stall permanently

  Scenario: Connections between entry and engine stall
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has started to process the request
    When the open connections of the engine stall
    And the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once

  Scenario: Connections between entry and plain service stall
    Given 3 hosts in 3 data centres
    And a caller sends a registration to its owner
    And the endpoint has started to process the request
    When the open connections of the plain service stall
    And the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once

  Scenario: Connections between entry and log stall
    Given 3 hosts in 3 data centres
    When the open connections of the log stall
    Then a change that is published over a new connection is active on all hosts

  Scenario: Connections between caller and entry stall
    Given 3 hosts in 3 data centres behind network proxies
    And a client sends a chat request
    And the engine has started to process the request
    When the open connections between callers and hosts stall
    Then the client receives the complete response, and the request was executed exactly once

  Scenario: Connections between entries stall
    Given 3 hosts in 3 data centres behind network proxies
    And a client has received a response
    When the open connections between hosts stall
    And a client sends a chat request
    Then the client receives the complete response, and the request was executed exactly once
