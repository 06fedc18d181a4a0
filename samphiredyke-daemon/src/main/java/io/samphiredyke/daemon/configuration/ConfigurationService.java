package io.samphiredyke.daemon.configuration;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.FollowerDecision;
import io.samphiredyke.core.config.FollowerDecision.Readiness;
import io.samphiredyke.core.config.LogFollower;
import io.samphiredyke.core.config.LogFollowerOptions;
import io.samphiredyke.core.config.PeerAnswer;
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
 * Follows the configuration stream of the log and gives the configuration in force.
 *
 * <p>Runs on the control loop; {@link #configuration()} may be read on any thread.
 */
public final class ConfigurationService {

  /** Asks some other host for the records from an offset on. */
  @FunctionalInterface
  public interface PeerSource {

    /** Asks; the answer or failure is reported on the control loop, or never. */
    void ask(long fromOffset, Consumer<PeerAnswer> onAnswer);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int OK = 200;
  private static final int GONE = 410;

  private final ControlEventLoop loop;
  private final HttpClient http;
  private final List<InetSocketAddress> logAddresses;
  private final String path;
  private final LogFollower follower;
  private final List<Runnable> listeners = new ArrayList<>();
  private PeerSource peers = (from, onAnswer) -> {};
  private int nextAddress;
  private volatile Configuration configuration = Configuration.empty();
  private volatile Readiness readiness = Readiness.CATCHING_UP;

  /**
   * Creates a service that knows nothing yet.
   *
   * @param host the name of this host
   * @param logAddresses where the log is served
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

  /** Adds an action that runs after each change of the configuration in force. */
  public void onChange(Runnable action) {
    listeners.add(action);
  }

  /** Sets whom to ask while the log is out of reach. */
  public void peers(PeerSource source) {
    peers = source;
  }

  /** Starts to follow the log. */
  public void start() {
    loop.scheduleWithFixedDelay(this::tick, TICK);
    loop.execute(this::tick);
  }

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns whether the configuration is complete enough to take requests. */
  public boolean isReady() {
    return readiness == Readiness.READY;
  }

  /** Returns the state of the follower in words. */
  public String readiness() {
    return readiness.name();
  }

  /** Returns whether records are known to be missing. */
  public boolean isBehind() {
    return follower.isBehind();
  }

  /** Returns how many polls of the log have failed since the last that succeeded. */
  public int consecutiveFailures() {
    return follower.consecutiveFailures();
  }

  /** Returns what this host can tell a peer that lacks records, or null while not ready itself. */
  public @Nullable PeerAnswer answerPeer(long fromOffset) {
    return follower.answerPeer(fromOffset);
  }

  private void tick() {
    carryOut(follower.tick(loop.nanoTime(), loop.epochMillis()));
  }

  private void carryOut(List<FollowerDecision> decisions) {
    decisions.forEach(this::carryOut);
  }

  private void carryOut(FollowerDecision decision) {
    if (decision instanceof FollowerDecision.PollLog poll) {
      poll(poll);
    } else if (decision instanceof FollowerDecision.AskPeer ask) {
      peers.ask(ask.from(), answer -> carryOut(follower.peerAnswered(answer)));
    } else if (decision instanceof FollowerDecision.AppendSnapshot snapshot) {
      append(snapshot.records(), 0);
    } else if (decision instanceof FollowerDecision.Activate activate) {
      activate(activate.configuration());
    } else if (decision instanceof FollowerDecision.ChangeReadiness change) {
      readiness = change.readiness();
      logger.atInfo().log("configuration state=%s", change.readiness());
    }
  }

  private void activate(Configuration next) {
    configuration = next;
    logger.atInfo().log(
        "configuration offset=%d items=%d in force", next.offset(), next.items().size());
    listeners.forEach(Runnable::run);
  }

  private void poll(FollowerDecision.PollLog poll) {
    String query =
        "?from=%d&max=%d&waitMillis=%d"
            .formatted(poll.from(), poll.maxRecords(), poll.waitMillis());
    HttpRequest request =
        HttpRequest.get(address(), path + query)
            .timeout(Duration.ofMillis(poll.timeoutMillis()))
            .build();
    loop.whenDone(http.send(request), this::onPage, this::onPollFailed);
  }

  private void onPage(HttpResponse response) {
    try {
      if (response.status() == OK) {
        carryOut(
            follower.pageRead(ConfigurationCodec.decodePage(response.body()), loop.nanoTime()));
        return;
      }
      if (response.status() == GONE) {
        long first = ConfigurationCodec.decodeOldestOffset(response.body());
        carryOut(follower.expired(first, loop.nanoTime()));
        return;
      }
    } catch (ConfigurationFormatException e) {
      logger.atWarning().withCause(e).log("the log sent a page that cannot be read");
    }
    nextAddress++;
    carryOut(follower.pollFailed(loop.nanoTime()));
  }

  private void onPollFailed(Throwable cause) {
    nextAddress++;
    carryOut(follower.pollFailed(loop.nanoTime()));
  }

  /** Appends the records one after the other; a failure ends the attempt, which is harmless. */
  private void append(List<ConfigurationRecord> records, int index) {
    if (index == records.size()) {
      return;
    }
    byte[] body = ConfigurationCodec.encode(records.get(index));
    CompletableFuture<HttpResponse> sent =
        http.send(HttpRequest.post(address(), path, body).build());
    loop.whenDone(
        sent,
        response -> {
          if (response.status() == OK) {
            append(records, index + 1);
          }
        },
        failure -> {});
  }

  private InetSocketAddress address() {
    return logAddresses.get(Math.floorMod(nextAddress, logAddresses.size()));
  }
}
