package io.samphiredyke.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the append-only log service: streams with offsets, retention and a rate limit. */
public final class LogStandIn extends AbstractStandIn<LogFaults> {

  private static final Pattern RECORDS = Pattern.compile("/v1/streams/([^/]+)/records");
  private static final int DEFAULT_MAX_RECORDS = 1_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final LogOptions options;
  private final AppendLimiter limiter;
  private final Map<String, LogStream> streams = new LinkedHashMap<>();
  private final Map<String, List<PendingRead>> pendingReads = new HashMap<>();
  private int responsesToDrop;
  private long appends;
  private long appendsLimited;
  private long droppedResponses;
  private long reads;
  private long failedByOutage;

  private LogStandIn(StandInRuntime runtime, LogOptions options) {
    super(runtime, LogFaults.class, LogFaults.NONE);
    this.options = options;
    this.limiter = new AppendLimiter(options.appendsPerSecond(), timers().now());
  }

  /** A long poll that waits for the next record. */
  private record PendingRead(HttpExchange exchange, long from, int max) {}

  private record Appended(long offset) {}

  private record Expired(long first) {}

  private record StreamCounts(long first, long next) {}

  private record Counts(
      long appends,
      long appendsLimited,
      long answersLost,
      long reads,
      long failedByOutage,
      Map<String, StreamCounts> streams) {}

  /**
   * Starts a log stand-in.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @return the stand-in; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<LogStandIn> start(
      StandInRuntime runtime, InetSocketAddress address, LogOptions options) {
    LogStandIn log = new LogStandIn(runtime, options);
    return log.bind(address).thenApply(bound -> log);
  }

  @Override
  protected void serve(HttpExchange exchange) {
    if (applyOutage(exchange)) {
      return;
    }
    Matcher path = RECORDS.matcher(exchange.path());
    if (!path.matches()) {
      respondNotFound(exchange);
      return;
    }
    String name = path.group(1);
    switch (exchange.method()) {
      case "POST" -> withBody(exchange, JsonNode.class, value -> append(exchange, name, value));
      case "GET" -> read(exchange, name);
      default -> respondNotFound(exchange);
    }
  }

  private boolean applyOutage(HttpExchange exchange) {
    LogFaults.Outage outage = faults().outage();
    if (outage == null) {
      return false;
    }
    failedByOutage++;
    switch (outage) {
      case UNAVAILABLE ->
          respondError(exchange, STATUS_UNAVAILABLE, "unavailable", "the log is out of service");
      case REFUSE -> exchange.abort();
      case HANG -> {}
      default -> throw new IllegalStateException("unknown outage " + outage);
    }
    return true;
  }

  private void append(HttpExchange exchange, String name, JsonNode value) {
    if (!limiter.tryAcquire(timers().now())) {
      appendsLimited++;
      exchange.respond(STATUS_TOO_MANY_REQUESTS, Map.of("retry-after", "1"), new byte[0]);
      return;
    }
    long offset = stream(name).append(value, runtime().clock().millis());
    appends++;
    runAfterMillis(faults().appendDelayMillis(), () -> respondToAppend(exchange, offset));
    completePendingReads(name);
  }

  private void respondToAppend(HttpExchange exchange, long offset) {
    if (responsesToDrop > 0) {
      responsesToDrop--;
      droppedResponses++;
      exchange.abort();
      return;
    }
    exchange.respondJson(STATUS_OK, new Appended(offset));
  }

  private void read(HttpExchange exchange, String name) {
    reads++;
    PendingRead read =
        new PendingRead(
            exchange,
            longParameter(exchange, "from", 0),
            (int) longParameter(exchange, "max", DEFAULT_MAX_RECORDS));
    long waitMillis = Math.min(longParameter(exchange, "waitMillis", 0), MAX_WAIT_MILLIS);
    LogStream stream = stream(name);
    boolean atEnd = read.from() == stream.next();
    if (!atEnd || waitMillis <= 0) {
      respondToRead(name, read);
      return;
    }
    List<PendingRead> readers = pendingReads.computeIfAbsent(name, key -> new ArrayList<>());
    readers.add(read);
    exchange.disconnected().thenRun(() -> readers.remove(read));
    runAfterMillis(
        waitMillis,
        () -> {
          if (readers.remove(read)) {
            respondToRead(name, read);
          }
        });
  }

  private void completePendingReads(String name) {
    List<PendingRead> readers = pendingReads.remove(name);
    if (readers != null) {
      List<PendingRead> ready = List.copyOf(readers);
      readers.clear();
      ready.forEach(read -> respondToRead(name, read));
    }
  }

  private void respondToRead(String name, PendingRead read) {
    runAfterMillis(
        faults().readDelayMillis(),
        () -> {
          try {
            LogPage page = stream(name).read(read.from(), read.max(), runtime().clock().millis());
            read.exchange().respondJson(STATUS_OK, page);
          } catch (OffsetExpiredException e) {
            read.exchange().respondJson(STATUS_GONE, new Expired(e.first()));
          }
        });
  }

  private void runAfterMillis(long delayMillis, Runnable action) {
    if (delayMillis <= 0) {
      action.run();
      return;
    }
    timers().scheduleAfter(TimeUnit.MILLISECONDS.toNanos(delayMillis), action);
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, key -> new LogStream(options));
  }

  private static long longParameter(HttpExchange exchange, String name, long defaultValue) {
    String text = exchange.query().get(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Long.parseUnsignedLong(text);
    } catch (NumberFormatException e) {
      throw new HttpException(STATUS_BAD_REQUEST, name + " is no number: " + text);
    }
  }

  /** Returns the retained records of a stream, for tests. */
  public CompletableFuture<List<LogRecord>> records(String name) {
    return CompletableFuture.supplyAsync(
        () -> {
          LogStream stream = stream(name);
          return stream
              .read(stream.first(), Integer.MAX_VALUE, runtime().clock().millis())
              .records();
        },
        runtime().loop());
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    Map<String, StreamCounts> byStream = new LinkedHashMap<>();
    streams.forEach(
        (name, stream) -> byStream.put(name, new StreamCounts(stream.first(), stream.next())));
    return new Counts(appends, appendsLimited, droppedResponses, reads, failedByOutage, byStream);
  }

  @Override
  protected void onFaultsChanged(LogFaults changed) {
    responsesToDrop = changed.loseAnswers();
    double rate = changed.appendsPerSecond();
    limiter.rate(rate > 0 ? rate : options.appendsPerSecond());
  }
}
