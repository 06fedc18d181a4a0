package io.samphiredyke.gateway;

import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;

/**
 * Notices that the host stood still: the steady clock does not count that time, the time of day
 * does.
 *
 * <p>A step of the time of day looks the same; what is done then does no harm.
 */
final class PauseDetector {

  private static final Duration INTERVAL = Duration.ofMillis(100);

  /** Difference of the clocks that counts as a pause; schedulers of the system delay by less. */
  private static final long MIN_PAUSE_MILLIS = 500;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ControlEventLoop loop;
  private final Runnable onWake;
  private long steadyMillis;
  private long wallMillis;

  PauseDetector(ControlEventLoop loop, Runnable onWake) {
    this.loop = loop;
    this.onWake = onWake;
  }

  void start() {
    steadyMillis = loop.nanoTime() / NANOS_PER_MILLI;
    wallMillis = loop.epochMillis();
    loop.scheduleWithFixedDelay(this::check, INTERVAL);
  }

  private void check() {
    long steady = loop.nanoTime() / NANOS_PER_MILLI;
    long wall = loop.epochMillis();
    long missed = (wall - wallMillis) - (steady - steadyMillis);
    steadyMillis = steady;
    wallMillis = wall;
    if (missed >= MIN_PAUSE_MILLIS) {
      onWake.run();
    }
  }
}
