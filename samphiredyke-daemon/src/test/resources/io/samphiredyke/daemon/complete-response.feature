Feature: Every caller receives the complete response to its own request and no other

  Scenario: The engine repeatedly closes the stream early
    Given 3 hosts in 3 data centres
    And the engine cuts each stream after 10 tokens
    And a caller sends a chat request to its owner
    When the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once
    And no host detected an invariant violation

  Scenario: A caller whose connection was lost resumes after the last event that it received
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has started to process the request
    When the caller resumes the stream at the owner after event 7
    Then the caller receives the rest of the response from event 8 on
    And the request was executed exactly once

  Scenario: A caller resumes at the first successor after the owner crashed
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has started to process the request
    When the owner crashes
    And the caller resumes the stream at the first successor after event 7
    Then the caller receives the rest of the response from event 8 on
    And the request was executed exactly once

  Scenario: A caller sends the same request twice at the same time
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the caller retries the request at the owner
    Then the caller receives the complete response to its request
    When the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once

  Scenario: Another customer sends a request with the same id
    Given 3 hosts in 3 data centres
    And a caller sends a chat request to its owner
    And the endpoint has started to process the request
    When another customer sends the same request to the owner
    Then the response status is 404
    When the caller waits for the response
    Then the caller receives the complete response to its request
    And the request was executed exactly once
