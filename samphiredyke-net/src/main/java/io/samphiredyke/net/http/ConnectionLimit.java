package io.samphiredyke.net.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Open connections of clients at one address, limited in number. Confined to an event loop.
 *
 * <p>A new connection beyond the limit takes the place of the one that has been idle for longest,
 * or else of the one whose request has been arriving for longest. A connection whose request is
 * processed is never closed for it.
 *
 * @param <C> the type of the connections
 */
public final class ConnectionLimit<C extends ConnectionLimit.Connection> {

  /** What a connection is doing. */
  public enum Stage {
    /** No byte of a request has arrived since the last response. */
    IDLE,
    /** A request is being received. */
    RECEIVING,
    /** A request is processed, or its response is sent. */
    PROCESSING
  }

  /** A connection of a client. */
  public interface Connection {

    /** Returns what the connection is doing. */
    Stage stage();

    /** Closes the connection. */
    void close();
  }

  /** Receives the decisions, for the log. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called before a connection is closed in favour of another.
     *
     * @param open number of open connections
     */
    void closing(Stage stage, int open);
  }

  private final int max;
  private final Listener listener;
  private final Set<C> connections = new LinkedHashSet<>();
  private long closed;

  /**
   * Creates a limit without connections.
   *
   * @param max open connections that are permitted
   */
  public ConnectionLimit(int max, Listener listener) {
    this.max = max;
    this.listener = listener;
  }

  /** Adds a connection that was accepted, and closes one if there are too many. */
  public void opened(C connection) {
    connections.add(connection);
    if (connections.size() <= max) {
      return;
    }
    C victim = first(Stage.IDLE, connection);
    if (victim == null) {
      victim = first(Stage.RECEIVING, connection);
    }
    if (victim == null) {
      victim = connection;
    }
    closed++;
    listener.closing(victim.stage(), connections.size());
    connections.remove(victim);
    victim.close();
  }

  private @Nullable C first(Stage stage, C except) {
    for (C connection : connections) {
      if (connection.stage() == stage && connection != except) {
        return connection;
      }
    }
    return null;
  }

  /** Called when a connection has become idle after a response. */
  public void becameIdle(C connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  /** Removes a connection that has ended. */
  public void ended(C connection) {
    connections.remove(connection);
  }

  /** Returns the open connections. */
  public List<C> open() {
    return List.copyOf(connections);
  }

  /** Returns the number of open connections. */
  public int size() {
    return connections.size();
  }

  /** Returns the number of open connections that are permitted. */
  public int max() {
    return max;
  }

  /** Returns how many connections were closed in favour of others. */
  public long closed() {
    return closed;
  }
}
