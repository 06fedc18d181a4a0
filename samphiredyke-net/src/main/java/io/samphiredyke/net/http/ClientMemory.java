package io.samphiredyke.net.http;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Memory that the requests of clients may occupy in one process, from their first byte to their
 * response, summed over all connections and addresses. Confined to an event loop.
 *
 * <p>When it is used up, what is not running gives way, the connection that holds most first. A
 * quarter is left to connections that hold little, so that a crowd of large requests leaves room
 * for ordinary ones.
 */
public final class ClientMemory {

  /** A connection that holds memory. */
  public interface Holder {

    /** Returns the bytes that {@link #giveWay} would return, 0 if none. */
    long reclaimableBytes();

    /** Refuses or drops what is not running, and states the bytes that are still held. */
    void giveWay();

    /** Returns the id of the request, empty if it is not known, or the client's address. */
    String name();
  }

  /** Receives the decisions, for the log. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called before a connection gives way.
     *
     * @param name the connection's {@link Holder#name}
     * @param bytes what it is to return
     * @param used what all connections hold
     */
    void reclaiming(String name, long bytes, long used);
  }

  /** Holdings up to which a connection may use all memory, in bytes. */
  public static final int SMALL_BYTES = 8 * 1024;

  private static final int RESERVE_DIVISOR = 4;

  private final long limit;
  private final Listener listener;
  private final Set<Share> shares = new LinkedHashSet<>();
  private long used;
  private long reclaimed;

  /**
   * Creates an account of which nothing is used.
   *
   * @param limit bytes that all connections may hold together
   */
  public ClientMemory(long limit, Listener listener) {
    this.limit = limit;
    this.listener = listener;
  }

  /** Opens the share of a connection, which must be closed with it. */
  public Share open(Holder holder) {
    Share share = new Share(holder);
    shares.add(share);
    return share;
  }

  /** Returns the bytes that all connections may hold together. */
  public long limit() {
    return limit;
  }

  /** Returns the bytes held. */
  public long used() {
    return used;
  }

  /** Returns how often a connection had to give way. */
  public long reclaimed() {
    return reclaimed;
  }

  private void makeRoom(Share grown) {
    long most = grown.bytes <= SMALL_BYTES ? limit : limit - limit / RESERVE_DIVISOR;
    while (used > most) {
      Share largest = largest();
      if (largest == null) {
        return;
      }
      long before = largest.bytes;
      reclaimed++;
      listener.reclaiming(largest.holder.name(), largest.holder.reclaimableBytes(), used);
      largest.holder.giveWay();
      if (largest.bytes >= before) {
        throw new IllegalStateException("a connection that gave way has returned nothing");
      }
    }
  }

  private @Nullable Share largest() {
    Share largest = null;
    long most = 0;
    for (Share share : shares) {
      long bytes = share.bytes == 0 ? 0 : Math.min(share.bytes, share.holder.reclaimableBytes());
      if (bytes > most) {
        most = bytes;
        largest = share;
      }
    }
    return largest;
  }

  /** What one connection holds. */
  public final class Share {

    private final Holder holder;
    private long bytes;

    private Share(Holder holder) {
      this.holder = holder;
    }

    /**
     * States what the connection holds. If that is too much, connections give way before this
     * returns, this one included.
     */
    public void set(long held) {
      if (!shares.contains(this)) {
        return;
      }
      boolean hasGrown = held > bytes;
      used += held - bytes;
      bytes = held;
      if (hasGrown) {
        makeRoom(this);
      }
    }

    /** Returns everything; later statements have no effect. */
    public void close() {
      if (shares.remove(this)) {
        used -= bytes;
        bytes = 0;
      }
    }
  }
}
