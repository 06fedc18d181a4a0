Feature: A graceful shutdown interrupts no request in flight

  @known-red
  Scenario: Six hosts are restarted one after the other under load
    Given 6 hosts in 3 data centres
    And clients that send chat requests and registrations continuously
    When each host in turn is drained and restarted
    Then every request of the clients received a complete response and was executed exactly once
    And no host detected an invariant violation
