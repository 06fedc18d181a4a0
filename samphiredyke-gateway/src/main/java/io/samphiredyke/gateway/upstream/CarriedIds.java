package io.samphiredyke.gateway.upstream;

import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.core.stream.ResponseHeadScan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ids of the requests that a connection has carried, and the heads of their responses.
 *
 * <p>An endpoint may send a response once more, late. A request whose id the connection has carried
 * before could get the copy of the earlier response, which nothing distinguishes from its own.
 *
 * <p>Keeps a hash of each id, and the outline of each head that differs from those before.
 */
final class CarriedIds {

  /** Requests after which a connection is not used again, which bounds its memory to 2 KiB. */
  static final int MAX_REQUESTS = 256;

  /** Heads of different outlines after which a connection is not used again. */
  static final int MAX_HEADS = 32;

  private static final int INITIAL_CAPACITY = 4;
  private static final long HASH_START = 0xcbf29ce484222325L;
  private static final long HASH_FACTOR = 0x100000001b3L;

  private long[] hashes = new long[INITIAL_CAPACITY];
  private int count;
  private final Set<String> heads = new HashSet<>();

  /** Adds the id of a request that is sent. */
  void add(String id) {
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count++] = hash(id);
  }

  /** Returns whether a request with the id may be sent on the connection. */
  boolean permits(String id) {
    return !isFull() && !contains(id);
  }

  /** Returns whether the connection has carried a request with the id. */
  boolean contains(String id) {
    long wanted = hash(id);
    for (int i = 0; i < count; i++) {
      if (hashes[i] == wanted) {
        return true;
      }
    }
    return false;
  }

  /** Adds the head of a response and returns its outline. */
  String add(HttpResponse response) {
    List<String> names = new ArrayList<>();
    for (Map.Entry<String, String> header : response.headers()) {
      names.add(header.getKey());
    }
    String outline =
        ResponseHeadScan.outlineOf(
            response.protocolVersion().text() + " " + response.status(), names);
    heads.add(outline);
    return outline;
  }

  /** Returns the outlines of the heads, without repetitions. */
  Set<String> heads() {
    return heads;
  }

  /** Returns whether the connection has carried as many requests, or kinds of heads, as it may. */
  boolean isFull() {
    return count >= MAX_REQUESTS || heads.size() >= MAX_HEADS;
  }

  private static long hash(String id) {
    long hash = HASH_START;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * HASH_FACTOR;
    }
    return hash;
  }
}
