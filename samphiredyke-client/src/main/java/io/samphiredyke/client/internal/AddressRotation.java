package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;

/** The host addresses of a request, tried in rotation. */
final class AddressRotation {

  /** Consecutive interrupted connections after which the next address is tried. */
  private static final int MAX_INTERRUPTIONS = 2;

  private final List<InetSocketAddress> addresses;
  private int index;
  private int interruptions;

  /**
   * Creates a rotation that starts with the first address. The list must not be empty when it is
   * used.
   */
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

  /** Records an interrupted connection; returns whether to try the next address. */
  boolean recordInterruption() {
    interruptions++;
    return interruptions >= MAX_INTERRUPTIONS;
  }

  void recordProgress() {
    interruptions = 0;
  }
}
