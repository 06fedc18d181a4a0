package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.frontend.FrontendServer;
import io.samphiredyke.gateway.frontend.RequestHandler;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;
import io.samphiredyke.net.http.ConnectionLimit;
import java.util.function.Supplier;

/** What clients at all addresses of the process may occupy together. */
final class ClientLimits {

  /** Part of the heap that the requests of clients may occupy. */
  private static final int MEMORY_DIVISOR = 4;

  /** Descriptors that the platform reserves for files. */
  private static final int FILES = 200;

  private static final int MIN_SOCKETS = 64;

  /** Part of the sockets for callers; each request that runs needs one to its endpoint as well. */
  private static final int CALLERS_DIVISOR = 3;

  /** Part of the sockets for each address of readiness, directory and metrics. */
  private static final int MANAGEMENT_DIVISOR = 16;

  private final ClientMemory memory;
  private final int sockets;
  private final DecisionLog log;

  /**
   * Derives the limits from the heap of this process.
   *
   * @param maxDescriptors files and sockets that the process may have open
   */
  ClientLimits(int maxDescriptors, DecisionLog log) {
    this.log = log;
    this.sockets = Math.max(MIN_SOCKETS, maxDescriptors - FILES);
    this.memory =
        new ClientMemory(
            Runtime.getRuntime().maxMemory() / MEMORY_DIVISOR,
            (name, bytes, used) ->
                log.event("memory_reclaimed", "id", name, "bytes", bytes, "all", used));
  }

  /** Logs that a connection was closed because too many were open at an address. */
  void displaced(ConnectionLimit.Stage stage, int open) {
    log.event("connection_displaced", "stage", stage.name(), "open", open);
  }

  /** Creates the server for callers, which keeps these limits. */
  FrontendServer frontend(EventLoop loop, RequestHandler handler, Supplier<CallerLimits> limits) {
    return new FrontendServer(loop, handler, limits, memory, callerConnections(), log);
  }

  /** Returns the memory of requests. */
  ClientMemory memory() {
    return memory;
  }

  /** Returns the number of callers' connections. */
  int callerConnections() {
    return sockets / CALLERS_DIVISOR;
  }

  /** Returns the number of connections at each other address. */
  int managementConnections() {
    return sockets / MANAGEMENT_DIVISOR;
  }
}
