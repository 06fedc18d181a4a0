package io.samphiredyke.bench.decisions;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Simulated clock that runs scheduled actions in time order when it is advanced. */
final class SimulatedClock {

  private record Event(long time, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private long now;
  private long sequence;

  long now() {
    return now;
  }

  void at(long time, Runnable action) {
    events.add(new Event(Math.max(now, time), sequence++, action));
  }

  void after(long delayNanos, Runnable action) {
    at(now + delayNanos, action);
  }

  /** Runs all actions due up to the given time, including those scheduled meanwhile. */
  void advanceTo(long time) {
    while (!events.isEmpty() && events.peek().time <= time) {
      Event event = events.poll();
      now = event.time;
      event.action.run();
    }
    now = time;
  }

  static long seconds(double value) {
    return (long) (value * TimeUnit.SECONDS.toNanos(1));
  }

  static double toSeconds(long nanos) {
    return (double) nanos / TimeUnit.SECONDS.toNanos(1);
  }
}
