package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A ticket with its host addresses; assigns the request ids under the ticket. */
public final class TicketLease {

  private final List<InetSocketAddress> addresses;
  private final String ticket;
  private final long refreshAtNanos;
  private final long expiresAtNanos;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a lease.
   *
   * @param refreshNanos the time to request a new lease, on the monotonic clock of the client
   * @param expiryNanos the expiry of the ticket, on the same clock
   */
  TicketLease(
      List<InetSocketAddress> addresses, String ticket, long refreshNanos, long expiryNanos) {
    this.addresses = List.copyOf(addresses);
    this.ticket = ticket;
    this.refreshAtNanos = refreshNanos;
    this.expiresAtNanos = expiryNanos;
  }

  /** Returns the addresses in order of preference. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /** Returns a new request id. */
  public String nextId() {
    return ticket + "." + sequence.incrementAndGet();
  }

  boolean isFresh(long now) {
    return now - refreshAtNanos < 0;
  }

  boolean isValid(long now) {
    return now - expiresAtNanos < 0;
  }
}
