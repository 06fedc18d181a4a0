package io.samphiredyke.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.StreamOrigins;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreException;
import io.samphiredyke.platform.StoreRecord;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Records in the store at which versions streams began, so that they outlive the loss of all hosts.
 *
 * <p>Streams are written in batches, only while a service may have several versions, and read only
 * if no host knows a stream. The topic expires with the store's history, which is longer than a
 * stream lasts. What could not be written is lost with the hosts that know it.
 */
public final class StreamOriginArchive implements StreamOrigins.Archive {

  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(1);

  /** Time for a lookup; the caller of a stream waits for it. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(300);

  /** Interval between two writes, for each host of the group: all make 100 a second at most. */
  private static final Duration WRITE_INTERVAL_PER_HOST = Duration.ofMillis(10);

  /** Interval between two writes while the store does not take them. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  /** Streams in one record, some dozens of kilobytes. */
  private static final int MAX_BATCH = 500;

  /** Bound of the streams that wait to be written, and of those that were read. */
  private static final int MAX_STREAMS = 8_192;

  private record Waiting(String requestId, StreamOrigins.Archive.Listener listener) {}

  /** A map that drops its eldest entries. */
  private static final class BoundedMap extends LinkedHashMap<String, StreamOrigin> {

    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, StreamOrigin> eldest) {
      return size() > MAX_STREAMS;
    }
  }

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final String hostName;
  private final IntSupplier hosts;
  private final DecisionLog log;
  private final Map<String, StreamOrigin> unwritten = new BoundedMap();
  private final Map<String, StreamOrigin> archived = new BoundedMap();
  private final List<Waiting> waiting = new ArrayList<>();
  private long position;
  private long era = StoreBatch.NO_ERA;
  private long lastWriteAt;
  private boolean isWriteScheduled;
  private boolean hasFailed;
  private boolean isReading;

  /**
   * Creates an archive.
   *
   * @param hosts returns the number of hosts of the group
   */
  public StreamOriginArchive(
      ControlEventLoop loop,
      StoreClient store,
      String hostName,
      IntSupplier hosts,
      DecisionLog log) {
    this.loop = loop;
    this.store = store;
    this.hostName = hostName;
    this.hosts = hosts;
    this.log = log;
    this.lastWriteAt = loop.nanoTime();
  }

  @Override
  public void add(String requestId, StreamOrigin origin) {
    unwritten.put(requestId, origin);
    scheduleWrite();
  }

  private void scheduleWrite() {
    if (isWriteScheduled || unwritten.isEmpty()) {
      return;
    }
    isWriteScheduled = true;
    Duration interval =
        hasFailed ? RETRY_INTERVAL : WRITE_INTERVAL_PER_HOST.multipliedBy(hosts.getAsInt());
    long delayNanos = interval.toNanos() - (loop.nanoTime() - lastWriteAt);
    loop.schedule(this::write, Duration.ofNanos(Math.max(0, delayNanos)));
  }

  private void write() {
    lastWriteAt = loop.nanoTime();
    Map<String, StreamOrigin> batch = new LinkedHashMap<>();
    Iterator<Map.Entry<String, StreamOrigin>> oldest = unwritten.entrySet().iterator();
    while (oldest.hasNext() && batch.size() < MAX_BATCH) {
      Map.Entry<String, StreamOrigin> entry = oldest.next();
      batch.put(entry.getKey(), entry.getValue());
      oldest.remove();
    }
    store
        .put(StoreClient.STREAM_TOPIC, hostName, encode(batch), WRITE_TIMEOUT)
        .whenComplete((done, failure) -> loop.execute(() -> onWritten(batch, failure)));
  }

  private void onWritten(Map<String, StreamOrigin> batch, @Nullable Throwable failure) {
    isWriteScheduled = false;
    if (failure != null) {
      unwritten.putAll(batch);
      if (!hasFailed) {
        log.event(
            "streams_not_written", "streams", unwritten.size(), "reason", String.valueOf(failure));
      }
    }
    hasFailed = failure != null;
    scheduleWrite();
  }

  private static byte[] encode(Map<String, StreamOrigin> batch) {
    List<List<String>> rows = new ArrayList<>();
    batch.forEach((id, origin) -> rows.add(List.of(id, origin.service(), origin.version())));
    return Json.bytes(rows);
  }

  /** Returns the number of streams that wait to be written. */
  public int unwritten() {
    return unwritten.size();
  }

  @Override
  public void find(String requestId, Listener listener) {
    StreamOrigin known = archived.get(requestId);
    if (known != null) {
      listener.found(known);
      return;
    }
    Waiting entry = new Waiting(requestId, listener);
    waiting.add(entry);
    loop.schedule(() -> finish(entry), READ_TIMEOUT);
    if (!isReading) {
      read();
    }
  }

  private void finish(Waiting entry) {
    if (waiting.remove(entry)) {
      entry.listener().found(archived.get(entry.requestId()));
    }
  }

  private void read() {
    isReading = true;
    loop.whenDone(
        store.read(StoreClient.STREAM_TOPIC, position, Duration.ZERO, READ_TIMEOUT),
        this::onRead,
        this::onReadFailed);
  }

  private void onRead(StoreBatch batch) {
    boolean isRestored = batch.era() != era && position > 0;
    era = batch.era();
    position = isRestored ? 0 : batch.nextOffset();
    batch.records().forEach(this::decode);
    if (isRestored || !batch.records().isEmpty()) {
      read();
    } else {
      finishAll();
    }
  }

  private void onReadFailed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreException gone
        && gone.isHistoryGone()
        && gone.firstOffset() != position) {
      position = gone.firstOffset();
      read();
      return;
    }
    log.event("streams_not_read", "from", position, "reason", String.valueOf(cause));
    finishAll();
  }

  private void finishAll() {
    isReading = false;
    List.copyOf(waiting).forEach(this::finish);
  }

  private void decode(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      return;
    }
    try {
      for (JsonNode row : Json.read(value, JsonNode.class)) {
        StreamOrigin origin = new StreamOrigin(row.path(1).asText(""), row.path(2).asText(""));
        archived.put(row.path(0).asText(""), origin);
      }
    } catch (IOException e) {
      log.event("streams_record_rejected", "key", record.key(), "reason", e.getMessage());
    }
  }
}
