package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.platform.standin.CallerStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.io.IOException;
import java.time.Duration;
import java.util.Queue;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * A caller that keeps one connection, sends one request after the other and takes up streams that
 * broke off. It may send refused requests again with the same id. Runs on its own thread.
 */
final class KeptCaller implements Runnable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time that a request states, and a margin after which it counts as without an outcome. */
  private static final Duration TIME_LEFT = Duration.ofSeconds(4);

  private static final Duration SILENCE = TIME_LEFT.plusSeconds(1);
  private static final int MAX_TAKE_UPS = 3;

  /** How often a refused request is sent again with its id. */
  private static final int MAX_REPEATS = 4;

  private static final int NEW_ID_ONE_IN = 6;
  private static final int WAIT_ONE_IN = 4;
  private static final int OTHER_HOST_ONE_IN = 8;
  private static final long MAX_RETRY_MILLIS = 400;
  private static final int MAX_THINK_MILLIS = 20;
  private static final long RETRY_MILLIS = 150;

  /** How often a connection is tried: hosts that were killed are back after that. */
  private static final int MAX_CONNECTS = 40;

  private final Fleet fleet;
  private final SplittableRandom random;
  private final Queue<CallerOutcome> outcomes;
  private final Observations observations;
  private final boolean sendsAgain;
  private Fleet.Host host;
  private @Nullable KeptConnection connection;
  private volatile boolean stopped;

  KeptCaller(
      Fleet fleet,
      SplittableRandom random,
      Queue<CallerOutcome> outcomes,
      Observations observations,
      boolean sendsAgain) {
    this.fleet = fleet;
    this.random = random;
    this.outcomes = outcomes;
    this.observations = observations;
    this.sendsAgain = sendsAgain;
    host = fleet.host(random.nextInt(fleet.hosts().size()));
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    RequestKind[] kinds = RequestKind.values();
    while (!stopped) {
      String id = Long.toHexString(random.nextLong());
      sendAndTakeUp(kinds[random.nextInt(kinds.length)], id);
      pause(random.nextInt(MAX_THINK_MILLIS));
    }
    disconnect();
  }

  /** Sends a request, and for some refusals again with the same id, at once or when told so. */
  private @Nullable CallerOutcome sendUntilServed(RequestKind kind, String id) {
    CallerOutcome outcome = send(kind, id, id, 0, "");
    for (int i = 0; i < MAX_REPEATS && sendsAgain && outcome != null && !stopped; i++) {
      if (!outcome.isRefused() || random.nextInt(NEW_ID_ONE_IN) == 0) {
        return outcome;
      }
      boolean waits = random.nextInt(WAIT_ONE_IN) == 0;
      pause(waits ? Math.min(MAX_RETRY_MILLIS, outcome.retryAfterMillis()) : 0);
      if (random.nextInt(OTHER_HOST_ONE_IN) == 0) {
        disconnect();
      }
      outcome = send(kind, id, id, 0, "");
    }
    return outcome;
  }

  private void sendAndTakeUp(RequestKind kind, String streamId) {
    CallerOutcome outcome = sendUntilServed(kind, streamId);
    for (int i = 0; i < MAX_TAKE_UPS && outcome != null && !stopped; i++) {
      StreamText text = new StreamText(outcome);
      boolean canTakeUp =
          kind == RequestKind.RESUMABLE
              && !outcome.isWhole()
              && text.defect().isEmpty()
              && text.lastEvent() > 0
              && text.lastEvent() < CallerStandIn.eventCount(streamId);
      if (!canTakeUp) {
        return;
      }
      pause(RETRY_MILLIS);
      String id = Long.toHexString(random.nextLong());
      outcome = send(kind, id, streamId, text.lastEvent(), text.version());
    }
  }

  private @Nullable CallerOutcome send(
      RequestKind kind, String id, String streamId, int lastEvent, String version) {
    for (int i = 0; i < MAX_CONNECTS && !stopped; i++) {
      HttpRequest request = request(kind, id, streamId, lastEvent);
      try {
        return send(request, kind, id, streamId, lastEvent, version);
      } catch (IOException e) {
        logger.atFine().log("%s accepts no connection: %s", host.name(), e.getMessage());
        disconnect();
        pause(RETRY_MILLIS);
      }
    }
    return null;
  }

  private CallerOutcome send(
      HttpRequest request,
      RequestKind kind,
      String id,
      String streamId,
      int lastEvent,
      String version)
      throws IOException {
    KeptConnection open = connection;
    if (open == null) {
      open = new KeptConnection(request, SILENCE);
      connection = open;
    } else if (open.hasSurplusBytes()) {
      observations.recordEndpointAction("caller", "surplus " + id + " bytes-before-the-request");
    }
    observations.recordRequest(id, kind);
    long sentMillis = System.currentTimeMillis();
    boolean isChunked = sendsAgain && random.nextBoolean();
    CallerOutcome.End end = open.exchange(request, isChunked);
    CallerOutcome outcome =
        new CallerOutcome(
            id,
            kind,
            streamId,
            lastEvent,
            version,
            host.name(),
            sentMillis,
            System.currentTimeMillis(),
            end,
            open.status(),
            open.headers(),
            open.body());
    outcomes.add(outcome);
    if (!outcome.isWhole() || open.isClosing()) {
      disconnect();
    }
    return outcome;
  }

  private HttpRequest request(RequestKind kind, String id, String streamId, int lastEvent) {
    String path = "/" + kind.route() + "/" + streamId;
    if (lastEvent > 0) {
      return CallerStandIn.takeUp(
          SocketAddresses.parse(host.address()), path, id, streamId, lastEvent, TIME_LEFT);
    }
    return CallerStandIn.request(
        SocketAddresses.parse(host.address()),
        path,
        id,
        PlatformFixtures.KEY,
        kind.isStream(),
        TIME_LEFT);
  }

  private void disconnect() {
    try {
      KeptConnection open = connection;
      if (open != null) {
        open.close();
      }
    } catch (IOException e) {
      logger.atFine().withCause(e).log("can't close a connection");
    }
    connection = null;
    host = fleet.host(random.nextInt(fleet.hosts().size()));
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
