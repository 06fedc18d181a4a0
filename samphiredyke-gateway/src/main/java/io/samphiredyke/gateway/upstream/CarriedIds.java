package io.samphiredyke.gateway.upstream;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried.
 *
 * <p>An endpoint may send a response once more, late. A request whose id the connection has carried
 * before could get the copy of the earlier response, which nothing distinguishes from its own.
 *
 * <p>Keeps a hash of each id. Two ids with one hash cost a new connection, and nothing else.
 */
final class CarriedIds {

  /** Requests after which a connection is not used again, which bounds its memory to 2 KiB. */
  static final int MAX_REQUESTS = 256;

  private static final int INITIAL_CAPACITY = 4;
  private static final long HASH_START = 0xcbf29ce484222325L;
  private static final long HASH_FACTOR = 0x100000001b3L;

  private long[] hashes = new long[INITIAL_CAPACITY];
  private int count;

  /** Adds the id of a request that is sent. */
  void add(String id) {
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count++] = hash(id);
  }

  /** Returns whether a request with the id may be sent on the connection. */
  boolean permits(String id) {
    if (isFull()) {
      return false;
    }
    long wanted = hash(id);
    for (int i = 0; i < count; i++) {
      if (hashes[i] == wanted) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the connection has carried as many requests as it may. */
  boolean isFull() {
    return count >= MAX_REQUESTS;
  }

  private static long hash(String id) {
    long hash = HASH_START;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * HASH_FACTOR;
    }
    return hash;
  }
}
