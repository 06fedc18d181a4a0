package io.samphiredyke.net.http;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Bytes of the bodies that are being collected, limited for each address. Thread-safe. */
final class BodyBudget {

  private final int maxBytesPerAddress;
  private final Map<InetSocketAddress, Integer> reserved = new HashMap<>();

  BodyBudget(int maxBytesPerAddress) {
    this.maxBytesPerAddress = maxBytesPerAddress;
  }

  int maxBytesPerAddress() {
    return maxBytesPerAddress;
  }

  /** Reserves bytes and returns true, or returns false if they exceed the limit of the address. */
  synchronized boolean tryReserve(InetSocketAddress address, int bytes) {
    int before = reserved.getOrDefault(address, 0);
    if (bytes > maxBytesPerAddress - before) {
      return false;
    }
    reserved.put(address, before + bytes);
    return true;
  }

  synchronized void release(InetSocketAddress address, int bytes) {
    reserved.computeIfPresent(address, (key, held) -> held <= bytes ? null : held - bytes);
  }
}
