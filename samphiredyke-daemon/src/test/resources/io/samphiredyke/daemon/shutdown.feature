Feature: A planned stop cuts off no request in flight

  Scenario: Six hosts are stopped one after the other under load
    Given 6 hosts in 3 data centres
    And clients that send chat requests and registrations all the time
    When each host in turn is drained and started again
    Then every request of the clients was answered whole and ran once
    And no host saw an invariant broken
