package io.samphiredyke.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.liveness.Liveness;
import io.samphiredyke.core.liveness.LivenessDecision;
import io.samphiredyke.core.liveness.LivenessVerdict;
import io.samphiredyke.core.liveness.ProbeResult;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether the processes of endpoints still run, by questions that are sent after they
 * were asked for. There is one question at a time to an endpoint, which decides for all that asked
 * before it was sent; those that ask later wait for the next one. All methods must be called on the
 * event loop.
 */
public final class LivenessProbes {

  /** Longest silence of a sound endpoint, 1.5 s, with a reserve for busy hosts. */
  private static final long LIMIT_MILLIS = 1_750;

  private final EventLoop loop;
  private final EndpointConnectionPool connections;
  private final EndpointConnector connector;
  private final Map<String, Check> checks = new HashMap<>();

  LivenessProbes(EventLoop loop, EndpointConnectionPool connections, EndpointConnector connector) {
    this.loop = loop;
    this.connections = connections;
    this.connector = connector;
  }

  /**
   * Asks whether the process of an endpoint still runs.
   *
   * @param listener receives the verdict once, after this call
   * @return cancels the question, after which the listener is not called
   */
  public Runnable ask(EndpointRecord endpoint, Consumer<LivenessVerdict> listener) {
    String instance = endpoint.id() + "@" + endpoint.startedAtMillis();
    Check check = checks.get(instance);
    if (check == null) {
      check = new Check(instance, endpoint);
      checks.put(instance, check);
      loop.execute(check::begin);
    }
    return check.add(listener);
  }

  /** Returns the number of endpoints that are asked. */
  int size() {
    return checks.size();
  }

  private final class Waiter {
    private final Consumer<LivenessVerdict> listener;
    private final long askedAt = connections.now();
    private final Future<?> timer;

    Waiter(Check check, Consumer<LivenessVerdict> listener) {
      this.listener = listener;
      this.timer = loop.schedule(() -> check.timeOut(this), LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** The questions to one endpoint, from the first one that is asked until none is waited for. */
  private final class Check implements LivenessProbe.Listener {

    private final String instance;
    private final EndpointRecord endpoint;
    private final EndpointTarget target;
    private final Set<Waiter> asking = new LinkedHashSet<>();
    private final Set<Waiter> later = new LinkedHashSet<>();
    private LivenessDecision decision = new LivenessDecision();
    private boolean isSent;
    private @Nullable LivenessProbe probe;

    Check(String instance, EndpointRecord endpoint) {
      this.instance = instance;
      this.endpoint = endpoint;
      this.target = new EndpointTarget(endpoint.id(), endpoint.address());
    }

    Runnable add(Consumer<LivenessVerdict> listener) {
      Waiter waiter = new Waiter(this, listener);
      (isSent ? later : asking).add(waiter);
      return () -> remove(waiter);
    }

    void begin() {
      if (checks.get(instance) != this) {
        return;
      }
      Channel kept = connections.takeIdle(endpoint.address(), "");
      if (kept == null) {
        probeOnNewConnection();
      } else {
        start(false).connected(kept);
      }
    }

    private void probeOnNewConnection() {
      if (checks.get(instance) == this) {
        connector.connect(target, "", start(true));
      }
    }

    private void probeAgain(@Nullable LivenessProbe ended) {
      if (probe == ended) {
        probeOnNewConnection();
      }
    }

    /** Asks for those who wait for the next question, or ends if nobody does. */
    private void proceed() {
      if (later.isEmpty()) {
        checks.remove(instance, this);
      } else {
        decision = new LivenessDecision();
        begin();
      }
    }

    private LivenessProbe start(boolean isNewConnection) {
      isSent = false;
      asking.addAll(later);
      later.clear();
      LivenessProbe next = new LivenessProbe(loop, endpoint, isNewConnection, this);
      probe = next;
      return next;
    }

    @Override
    public void onSent() {
      isSent = true;
    }

    @Override
    public void onResult(ProbeResult result, boolean isNewConnection) {
      LivenessDecision.Step step = decision.after(result, isNewConnection, hasOlderConnections());
      LivenessVerdict verdict = step.verdict();
      if (verdict == null) {
        LivenessProbe ended = probe;
        loop.schedule(() -> probeAgain(ended), step.delayMillis(), TimeUnit.MILLISECONDS);
        return;
      }
      List<Waiter> decided = List.copyOf(asking);
      asking.clear();
      if (verdict.liveness() == Liveness.GONE) {
        decided = Stream.concat(decided.stream(), later.stream()).toList();
        later.clear();
      }
      proceed();
      decided.forEach(waiter -> deliver(waiter, verdict));
    }

    /** Returns whether a connection lives that was open before the first of those who ask. */
    private boolean hasOlderConnections() {
      String address = endpoint.address();
      return !asking.isEmpty()
          && !connections.isPathLost(address)
          && connections.hasOpenSince(address, asking.iterator().next().askedAt);
    }

    private void deliver(Waiter waiter, LivenessVerdict verdict) {
      waiter.timer.cancel(false);
      waiter.listener.accept(verdict);
    }

    void timeOut(Waiter waiter) {
      remove(waiter);
      waiter.listener.accept(
          new LivenessVerdict(Liveness.UNKNOWN, "no response in " + LIMIT_MILLIS + " ms"));
    }

    private void remove(Waiter waiter) {
      waiter.timer.cancel(false);
      asking.remove(waiter);
      later.remove(waiter);
      if (asking.isEmpty() && checks.get(instance) == this) {
        LivenessProbe running = probe;
        if (running != null) {
          running.cancel();
        }
        proceed();
      }
    }
  }
}
