package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A ticket with the addresses that it came with; numbers the requests made under it. */
public final class TicketLease {

  private final List<InetSocketAddress> addresses;
  private final String ticket;
  private final long refreshAtNanos;
  private final long expiresAtNanos;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a lease.
   *
   * @param refreshNanos when to ask for another one, on the client's monotonic clock
   * @param expiryNanos when the ticket expires, on the same clock
   */
  TicketLease(List<InetSocketAddress> addresses, String ticket, long refreshNanos, long expiryNanos) {
    this.addresses = List.copyOf(addresses);
    this.ticket = ticket;
    this.refreshAtNanos = refreshNanos;
    this.expiresAtNanos = expiryNanos;
  }

  /** Returns the addresses, the best one first. */
  public List<InetSocketAddress> addresses() {
    return addresses;
  }

  /** Returns a request id that was not used before. */
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
