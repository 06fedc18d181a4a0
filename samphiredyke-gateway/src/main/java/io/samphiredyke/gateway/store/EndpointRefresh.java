package io.samphiredyke.gateway.store;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads the endpoint entries on demand. One read serves all that wait for it. */
public final class EndpointRefresh {

  /** Time for a read; callers that take up a stream wait for it. */
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  private record Waiting(long since, Consumer<Boolean> listener) {}

  private final ControlEventLoop loop;
  private final TopicFollower follower;
  private final DecisionLog log;
  private final List<Waiting> waiting = new ArrayList<>();

  /** Creates an instance that reads with a follower of the endpoint entries. */
  public EndpointRefresh(ControlEventLoop loop, TopicFollower follower, DecisionLog log) {
    this.loop = loop;
    this.follower = follower;
    this.log = log;
  }

  /**
   * Reads the entries.
   *
   * @param listener receives whether a read that began after this call has succeeded in time
   */
  public void read(Consumer<Boolean> listener) {
    Waiting entry = new Waiting(loop.nanoTime(), listener);
    waiting.add(entry);
    loop.schedule(() -> timedOut(entry), TIMEOUT);
    follower.readAgain();
  }

  private void timedOut(Waiting entry) {
    if (waiting.remove(entry)) {
      log.event("endpoints_not_read", "silent_ms", follower.silentMillis());
      entry.listener().accept(false);
    }
  }

  /** Called after each read of the entries. */
  public void onRead() {
    for (Waiting entry : List.copyOf(waiting)) {
      if (follower.hasReadSince(entry.since()) && waiting.remove(entry)) {
        entry.listener().accept(true);
      }
    }
    if (!waiting.isEmpty()) {
      loop.execute(follower::readAgain);
    }
  }
}
