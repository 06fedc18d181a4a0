package io.samphiredyke.daemon.configuration;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.FollowerDecision;
import io.samphiredyke.core.config.FollowerDecision.Readiness;
import io.samphiredyke.core.config.LogFollower;
import io.samphiredyke.core.config.LogFollowerOptions;
import io.samphiredyke.core.config.PeerResponse;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.configuration.ConfigurationFormatException;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Follows the configuration stream of the log and provides the active configuration.
 *
 * <p>Runs on the control loop; {@link #configuration()} may be read on any thread.
 */
public final class ConfigurationService {

  /** Fetches configuration records from another host. */
  @FunctionalInterface
  public interface PeerRecordSource {

    /**
     * Requests the records from an offset on.
     *
     * @param onResponse receives the response on the control loop; not called on failure
     */
    void fetch(long fromOffset, Consumer<PeerResponse> onResponse);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int OK = 200;
  private static final int GONE = 410;

  private final ControlEventLoop loop;
  private final HttpClient http;
  private final List<InetSocketAddress> logAddresses;
  private final String path;
  private final LogFollower follower;
  private final List<Runnable> listeners = new ArrayList<>();
  private PeerRecordSource peers = (from, onResponse) -> {};
  private int nextAddress;
  private volatile Configuration configuration = Configuration.empty();
  private volatile Readiness readiness = Readiness.CATCHING_UP;

  /**
   * Creates a service with an empty configuration.
   *
   * @param host the name of this host
   * @param logAddresses the addresses of the log
   * @param stream the name of the configuration stream
   */
  public ConfigurationService(
      ControlEventLoop loop,
      HttpClient http,
      String host,
      List<InetSocketAddress> logAddresses,
      String stream,
      RandomGenerator random) {
    this.loop = loop;
    this.http = http;
    this.logAddresses = List.copyOf(logAddresses);
    this.path = "/v1/streams/" + stream + "/records";
    this.follower =
        new LogFollower(host, LogFollowerOptions.builder().build(), random, loop.nanoTime());
  }

  /** Adds an action that runs after each change of the active configuration. */
  public void onChange(Runnable action) {
    listeners.add(action);
  }

  /** Sets the source of records to use while the log is unreachable. */
  public void peers(PeerRecordSource source) {
    peers = source;
  }

  /** Starts following the log. */
  public void start() {
    loop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL);
    loop.execute(this::tick);
  }

  /** Returns the active configuration. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns whether the configuration is complete enough to accept requests. */
  public boolean isReady() {
    return readiness == Readiness.READY;
  }

  /** Returns the name of the follower's readiness state. */
  public String readiness() {
    return readiness.name();
  }

  /** Returns whether records are known to be missing. */
  public boolean isBehind() {
    return follower.isBehind();
  }

  /** Returns the number of failed polls of the log since the last successful one. */
  public int consecutiveFailures() {
    return follower.consecutiveFailures();
  }

  /** Returns the response to a peer that lacks records, or null while this host is not ready. */
  public @Nullable PeerResponse respondToPeer(long fromOffset) {
    return follower.respondToPeer(fromOffset);
  }

  private void tick() {
    execute(follower.tick(loop.nanoTime(), loop.epochMillis()));
  }

  private void execute(List<FollowerDecision> decisions) {
    decisions.forEach(this::execute);
  }

  private void execute(FollowerDecision decision) {
    if (decision instanceof FollowerDecision.PollLog poll) {
      poll(poll);
    } else if (decision instanceof FollowerDecision.AskPeer ask) {
      peers.fetch(ask.from(), response -> execute(follower.peerResponded(response)));
    } else if (decision instanceof FollowerDecision.AppendSnapshot snapshot) {
      append(snapshot.records(), 0);
    } else if (decision instanceof FollowerDecision.Activate activate) {
      activate(activate.configuration());
    } else if (decision instanceof FollowerDecision.ChangeReadiness change) {
      readiness = change.readiness();
      logger.atInfo().log("configuration readiness changed: state=%s", change.readiness());
    }
  }

  private void activate(Configuration next) {
    configuration = next;
    logger.atInfo().log(
        "configuration activated: offset=%d items=%d", next.offset(), next.items().size());
    listeners.forEach(Runnable::run);
  }

  private void poll(FollowerDecision.PollLog poll) {
    String query =
        "?from=%d&max=%d&waitMillis=%d"
            .formatted(poll.from(), poll.maxRecords(), poll.waitMillis());
    HttpRequest request =
        HttpRequest.get(currentAddress(), path + query)
            .timeout(Duration.ofMillis(poll.timeoutMillis()))
            .build();
    loop.whenDone(http.send(request), this::onPage, this::onPollFailed);
  }

  private void onPage(HttpResponse response) {
    try {
      if (response.status() == OK) {
        execute(follower.pageRead(ConfigurationCodec.decodePage(response.body()), loop.nanoTime()));
        return;
      }
      if (response.status() == GONE) {
        long first = ConfigurationCodec.decodeOldestOffset(response.body());
        execute(follower.offsetOutOfRange(first, loop.nanoTime()));
        return;
      }
    } catch (ConfigurationFormatException e) {
      logger.atWarning().withCause(e).log(
          "cannot decode the configuration page that the log returned");
    }
    nextAddress++;
    execute(follower.pollFailed(loop.nanoTime()));
  }

  private void onPollFailed(Throwable cause) {
    nextAddress++;
    execute(follower.pollFailed(loop.nanoTime()));
  }

  /**
   * Appends the records of a snapshot one after the other. After a failure the rest is not
   * appended; readers ignore an incomplete snapshot.
   */
  private void append(List<ConfigurationRecord> records, int index) {
    if (index == records.size()) {
      return;
    }
    byte[] body = ConfigurationCodec.encode(records.get(index));
    CompletableFuture<HttpResponse> sent =
        http.send(HttpRequest.post(currentAddress(), path, body).build());
    loop.whenDone(
        sent,
        response -> {
          if (response.status() == OK) {
            append(records, index + 1);
          }
        },
        failure -> {});
  }

  private InetSocketAddress currentAddress() {
    return logAddresses.get(Math.floorMod(nextAddress, logAddresses.size()));
  }
}
