package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;

/** The addresses that a request may be sent to, and the one whose turn it is. */
final class AddressRotation {

  private static final int MAX_INTERRUPTIONS = 2;

  private final List<InetSocketAddress> addresses;
  private int index;
  private int interruptions;

  /** Creates a route that starts at the first of some addresses, of which there is at least one. */
  AddressRotation(List<InetSocketAddress> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  InetSocketAddress current() {
    return addresses.get(index);
  }

  boolean isFirst() {
    return index == 0;
  }

  boolean isLast() {
    return index == addresses.size() - 1;
  }

  void advance() {
    index = (index + 1) % addresses.size();
    interruptions = 0;
  }

  /** Notes a connection that was cut; returns whether the next address should be tried. */
  boolean recordInterruption() {
    interruptions++;
    return interruptions >= MAX_INTERRUPTIONS;
  }

  void recordProgress() {
    interruptions = 0;
  }
}
