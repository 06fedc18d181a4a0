package io.samphiredyke.gateway;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.http.ClientMemory;

/** What clients at all addresses of the process may occupy together. */
final class ClientLimits {

  /** Part of the heap that the requests of clients may occupy. */
  private static final int MEMORY_DIVISOR = 4;

  private final ClientMemory memory;

  /** Derives the limits from the heap of this process. */
  ClientLimits(DecisionLog log) {
    this.memory =
        new ClientMemory(
            Runtime.getRuntime().maxMemory() / MEMORY_DIVISOR,
            (name, bytes, used) ->
                log.event("memory_reclaimed", "id", name, "bytes", bytes, "all", used));
  }

  /** Returns the memory of requests. */
  ClientMemory memory() {
    return memory;
  }
}
