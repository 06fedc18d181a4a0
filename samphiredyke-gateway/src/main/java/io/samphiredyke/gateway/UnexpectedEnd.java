package io.samphiredyke.gateway;

import io.samphiredyke.gateway.log.DecisionLog;

/**
 * Reports an end of the process that nothing has ordered. The process ends by itself when its event
 * loop has died, such as for lack of memory, since it has no other thread of its own.
 */
final class UnexpectedEnd {

  /** Exit code, the same as that of the JVM's option ExitOnOutOfMemoryError. */
  static final int EXIT_CODE = 3;

  private static final long BYTES_PER_MB = 1024 * 1024;

  private UnexpectedEnd() {}

  /** Registers the report; an ordered end halts the process, which skips it. */
  static void register(DecisionLog log) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> report(log), "unexpected-end"));
  }

  private static void report(DecisionLog log) {
    try {
      Runtime runtime = Runtime.getRuntime();
      long usedMb = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
      long maxMb = runtime.maxMemory() / BYTES_PER_MB;
      log.event("ended_unexpectedly", "heap_mb", usedMb, "max_heap_mb", maxMb, "code", EXIT_CODE);
      log.close();
    } finally {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
