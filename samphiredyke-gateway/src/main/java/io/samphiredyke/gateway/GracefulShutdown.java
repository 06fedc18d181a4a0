package io.samphiredyke.gateway;

import io.samphiredyke.gateway.log.DecisionLog;
import java.time.Duration;

/**
 * The planned stop: not ready at once, then serving until callers have moved on, then no further
 * connections, then the end.
 *
 * <p>Callers keep addresses for a while and connect themselves, so requests go on arriving for some
 * seconds. All of them are served; connections without a request are closed when that time is over,
 * so that what was taken has the rest of the grace time.
 */
final class GracefulShutdown {

  /** Time before the kill by which the process ends on its own, milliseconds. */
  private static final int KILL_MARGIN_MILLIS = 600;

  /** Callers keep addresses for up to three times the stated time. */
  private static final int TTL_FACTOR = 3;

  private static final Duration CHECK = Duration.ofMillis(50);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Gateway gateway;
  private final DecisionLog log;
  private boolean begun;
  private long begunAt;

  GracefulShutdown(Gateway gateway, DecisionLog log) {
    this.gateway = gateway;
    this.log = log;
  }

  /** Begins the stop; called from any thread. */
  void begin() {
    gateway.loop().execute(this::beginOnLoop);
  }

  private void beginOnLoop() {
    if (begun) {
      return;
    }
    begun = true;
    begunAt = gateway.loop().nanoTime();
    log.event(
        "stop_begun", "grace_ms", gateway.graceMillis(), "busy", gateway.front().busyConnections());
    gateway.drain();
    gateway.loop().scheduleWithFixedDelay(this::check, CHECK);
  }

  private void check() {
    long millis = (gateway.loop().nanoTime() - begunAt) / NANOS_PER_MILLI;
    long callersGone = (long) (gateway.callerTtlSeconds() * TTL_FACTOR * 1_000);
    if (millis >= callersGone) {
      gateway.front().stopAccepting();
    }
    boolean isQuiet = millis >= callersGone && gateway.front().busyConnections() == 0;
    if (isQuiet || millis > gateway.graceMillis() - KILL_MARGIN_MILLIS) {
      end(millis);
    }
  }

  private void end(long millis) {
    gateway.peers().leave();
    log.event("stop", "ms", millis, "busy", gateway.front().busyConnections());
    log.close();
    Runtime.getRuntime().halt(0);
  }
}
