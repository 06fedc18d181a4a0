package io.samphiredyke.gateway;

import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;

/**
 * Detects pauses of the host by comparing the wall clock with the monotonic clock, which does not
 * advance during a pause.
 *
 * <p>A step of the wall clock is also reported as a pause, for which the reaction is harmless.
 */
final class PauseDetector {

  private static final Duration INTERVAL = Duration.ofMillis(100);

  /** Minimum clock difference that counts as a pause; delays by the OS scheduler are shorter. */
  private static final long MIN_PAUSE_MILLIS = 500;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ControlEventLoop loop;
  private final Runnable onPause;
  private long monotonicMillis;
  private long wallMillis;

  PauseDetector(ControlEventLoop loop, Runnable onPause) {
    this.loop = loop;
    this.onPause = onPause;
  }

  void start() {
    monotonicMillis = loop.nanoTime() / NANOS_PER_MILLI;
    wallMillis = loop.epochMillis();
    loop.scheduleWithFixedDelay(this::check, INTERVAL);
  }

  private void check() {
    long monotonic = loop.nanoTime() / NANOS_PER_MILLI;
    long wall = loop.epochMillis();
    long pauseMillis = (wall - wallMillis) - (monotonic - monotonicMillis);
    monotonicMillis = monotonic;
    wallMillis = wall;
    if (pauseMillis >= MIN_PAUSE_MILLIS) {
      onPause.run();
    }
  }
}
