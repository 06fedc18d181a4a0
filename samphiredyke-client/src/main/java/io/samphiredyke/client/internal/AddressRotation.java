package io.samphiredyke.client.internal;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The host addresses of a request, tried in rotation.
 *
 * <p>Hosts that were left without a response are recorded as silent once another host has served or
 * refused the request.
 */
final class AddressRotation {

  /** Consecutive interrupted connections after which the next address is tried. */
  private static final int MAX_INTERRUPTIONS = 2;

  private final List<InetSocketAddress> addresses;
  private final SilentHosts silentHosts;
  private final Set<InetSocketAddress> unanswered = new HashSet<>();
  private int index;
  private int interruptions;
  private boolean hasResponded;

  private AddressRotation(List<InetSocketAddress> addresses, SilentHosts silentHosts) {
    this.addresses = List.copyOf(addresses);
    this.silentHosts = silentHosts;
  }

  /**
   * Returns a rotation for a new request id, which starts with the first address that is not
   * silent. The list must not be empty when the rotation is used.
   */
  static AddressRotation forNewId(List<InetSocketAddress> addresses, SilentHosts silentHosts) {
    return new AddressRotation(silentHosts.order(addresses), silentHosts);
  }

  /**
   * Returns a rotation over the addresses that a host named, in this order also if the first one is
   * silent, because it decides about the request.
   */
  AddressRotation redirectedTo(List<InetSocketAddress> newAddresses) {
    return new AddressRotation(newAddresses, silentHosts);
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
    if (!hasResponded) {
      unanswered.add(current());
    }
    index = (index + 1) % addresses.size();
    interruptions = 0;
    hasResponded = false;
  }

  /** Records an interrupted connection; returns whether to try the next address. */
  boolean recordInterruption() {
    interruptions++;
    return interruptions >= MAX_INTERRUPTIONS || silentHosts.isSilent(current());
  }

  /** Records a part of the response to the request. */
  void recordProgress() {
    interruptions = 0;
    recordResponse(true);
  }

  /**
   * Records a response of the current host.
   *
   * @param isDecided whether it serves the request or states that it was not executed, so that no
   *     other host that it reaches holds the request
   */
  void recordResponse(boolean isDecided) {
    if (!hasResponded) {
      hasResponded = true;
      unanswered.remove(current());
      silentHosts.recordResponse(current());
    }
    if (isDecided) {
      unanswered.forEach(silentHosts::recordSilence);
      unanswered.clear();
    }
  }
}
