package io.samphiredyke.gateway.store;

import io.samphiredyke.core.pool.PartQuarantine;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.quarantine.RequestQuarantine;
import io.samphiredyke.core.quarantine.RequestStanding;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.CrashWatch;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.gateway.scheduling.PromptQuarantine;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Stores quarantined prompt parts and requests, so that hosts that start later, or after all others
 * were lost, know them.
 *
 * <p>The record of a part has its id as key and, as value, how often the part was quarantined and
 * until when (milliseconds since 1970). The record of a request has {@link #REQUEST_PREFIX}, the
 * hash of its content, a colon and its caller as key and, as value, how often it was found, its
 * strikes and when its next trial may begin; earlier builds wrote one field of no meaning. What
 * could not be written is written again, also after a restore of the store.
 */
public final class QuarantineArchive implements PromptQuarantine.Archive, CrashWatch.Archive {

  private static final String REQUEST_PREFIX = "request:";

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  /** Bound of the random delay of writes after a restore. */
  private static final long MAX_SPREAD_MILLIS = 1_000;

  private static final int RADIX = 16;
  private static final int REQUEST_FIELDS = 3;

  /** Longest time for which a record is believed, 30 days. */
  private static final long MAX_REMAINING_MILLIS = Duration.ofDays(30).toMillis();

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final PromptQuarantine quarantine;
  private final CrashWatch crashes;
  private final ReaderElection writers;
  private final Runnable onRead;
  private final DecisionLog log;
  private final Map<Long, PartQuarantine.Entry> written = new HashMap<>();
  private final Set<RequestFingerprint> writtenRequests = new LinkedHashSet<>();
  private boolean hasCompletedRead;
  private boolean isReading;

  /**
   * Creates an archive.
   *
   * @param onRead runs after the first read has completed, successfully or not
   */
  public QuarantineArchive(
      ControlEventLoop loop,
      StoreClient store,
      PeerGroup peers,
      String self,
      Runnable onRead,
      DecisionLog log) {
    this.loop = loop;
    this.store = store;
    this.quarantine = peers.quarantine();
    this.crashes = peers.crashes();
    this.writers = new ReaderElection(peers, self, StoreClient.QUARANTINE_TOPIC);
    this.onRead = onRead;
    this.log = log;
  }

  /** Reads the parts that are quarantined, until the store has responded once. */
  public void start() {
    quarantine.setArchive(this);
    crashes.setArchive(this);
    read();
  }

  private void read() {
    loop.whenDone(
        store.readNewest(StoreClient.QUARANTINE_TOPIC, TIMEOUT), this::onParts, this::onFailure);
  }

  private void onFailure(Throwable failure) {
    log.event("quarantine_not_read", "reason", String.valueOf(failure.getMessage()));
    loop.schedule(this::read, RETRY_INTERVAL);
    readCompleted();
  }

  private void readCompleted() {
    hasCompletedRead = true;
    onRead.run();
  }

  /** Returns whether a read has completed, successfully or not. */
  public boolean hasCompletedRead() {
    return hasCompletedRead;
  }

  private void onParts(StoreBatch batch) {
    isReading = true;
    for (StoreRecord record : batch.records()) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        add(record.key(), new String(value, StandardCharsets.UTF_8));
      }
    }
    isReading = false;
    readCompleted();
  }

  private void add(String key, String value) {
    try {
      if (key.startsWith(REQUEST_PREFIX)) {
        addRequest(decodeRequest(key.substring(REQUEST_PREFIX.length())), value);
        return;
      }
      String[] fields = value.split(" ", -1);
      int strikes = Integer.parseInt(fields[0]);
      long remaining =
          Math.subtractExact(Long.parseLong(fields[fields.length - 1]), loop.epochMillis());
      quarantine.add(
          Long.parseUnsignedLong(key, RADIX),
          strikes,
          Math.min(MAX_REMAINING_MILLIS, remaining),
          "store");
    } catch (IllegalArgumentException | ArithmeticException e) {
      log.event("quarantine_record_rejected", "key", key, "reason", e.getMessage());
    }
  }

  private void addRequest(RequestFingerprint request, String value) {
    String[] fields = value.split(" ", -1);
    boolean hasStanding = fields.length >= REQUEST_FIELDS;
    int generation = hasStanding ? Math.max(1, Integer.parseInt(fields[0])) : 1;
    int strikes = hasStanding ? Math.max(1, Integer.parseInt(fields[1])) : 1;
    RequestStanding usual = RequestQuarantine.standing(generation, strikes, loop.nanoTime());
    long remaining =
        hasStanding ? Math.subtractExact(Long.parseLong(fields[2]), loop.epochMillis()) : 0;
    long dueAt = loop.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, remaining));
    boolean isSooner = hasStanding && dueAt - usual.dueAt() < 0;
    crashes.add(
        request, isSooner ? new RequestStanding(generation, strikes, dueAt) : usual, "store");
  }

  private static RequestFingerprint decodeRequest(String key) {
    int colon = key.indexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("a request without caller");
    }
    long content = Long.parseUnsignedLong(key.substring(0, colon), RADIX);
    return new RequestFingerprint(key.substring(colon + 1), content);
  }

  private static String encodeRequest(RequestFingerprint request) {
    return REQUEST_PREFIX + Long.toHexString(request.content()) + ":" + request.caller();
  }

  @Override
  public void changed(RequestFingerprint request, boolean isReporter) {
    if (!isReading && (isReporter || isElected() || writtenRequests.contains(request))) {
      write(request);
    }
  }

  private boolean isElected() {
    return writers.rank(1) == 0;
  }

  private void write(RequestFingerprint request) {
    RequestStanding standing = crashes.quarantine().find(request);
    if (standing == null) {
      writtenRequests.remove(request);
    } else {
      writtenRequests.add(request);
    }
    String value = standing == null ? "" : encode(standing);
    write(encodeRequest(request), value, () -> write(request));
  }

  private String encode(RequestStanding standing) {
    return standing.generation() + " " + standing.strikes() + " " + epochMillis(standing.dueAt());
  }

  @Override
  public void put(long partId, PartQuarantine.Entry entry) {
    written.put(partId, entry);
    write(partId);
  }

  @Override
  public void remove(long partId) {
    written.remove(partId);
    write(partId);
  }

  /** Writes all parts and requests of this host again, because an older copy was restored. */
  public void writeAgain(RandomGenerator random) {
    written.keySet().forEach(partId -> writeLater(() -> write(partId), random));
    Collection<RequestFingerprint> requests =
        isElected() ? crashes.quarantine().requests() : List.copyOf(writtenRequests);
    requests.forEach(request -> writeLater(() -> write(request), random));
  }

  private void writeLater(Runnable write, RandomGenerator random) {
    loop.schedule(write, Duration.ofMillis(random.nextLong(MAX_SPREAD_MILLIS)));
  }

  private void write(long partId) {
    PartQuarantine.Entry entry = written.get(partId);
    String value = entry == null ? "" : entry.strikes() + " " + epochMillis(entry.until());
    write(Long.toHexString(partId), value, () -> write(partId));
  }

  private long epochMillis(long nanos) {
    return loop.epochMillis() + TimeUnit.NANOSECONDS.toMillis(nanos - loop.nanoTime());
  }

  private void write(String key, String value, Runnable retry) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    store
        .put(StoreClient.QUARANTINE_TOPIC, key, bytes, TIMEOUT)
        .whenComplete((done, failure) -> loop.execute(() -> onWritten(key, failure, retry)));
  }

  private void onWritten(String key, @Nullable Throwable failure, Runnable retry) {
    if (failure != null) {
      log.event("quarantine_not_written", "key", key, "reason", String.valueOf(failure));
      loop.schedule(retry, RETRY_INTERVAL);
    }
  }
}
