package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.List;

/** The addresses that a request may be sent to, and the one whose turn it is. */
final class Route {

  private static final int CUTS_BEFORE_NEXT = 2;

  private final List<InetSocketAddress> addresses;
  private int cursor;
  private int cuts;

  /** Creates a route that starts at the first of some addresses, of which there is at least one. */
  Route(List<InetSocketAddress> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  InetSocketAddress current() {
    return addresses.get(cursor);
  }

  boolean isFirst() {
    return cursor == 0;
  }

  boolean isLast() {
    return cursor == addresses.size() - 1;
  }

  void next() {
    cursor = (cursor + 1) % addresses.size();
    cuts = 0;
  }

  /** Notes a connection that was cut; returns whether the next address should be tried. */
  boolean cut() {
    cuts++;
    return cuts >= CUTS_BEFORE_NEXT;
  }

  void progress() {
    cuts = 0;
  }
}
