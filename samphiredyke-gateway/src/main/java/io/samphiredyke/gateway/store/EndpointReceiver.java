package io.samphiredyke.gateway.store;

import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.EndpointDecoder;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.StoreRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/** Decodes the endpoint entries and maintains the endpoint directory. */
public final class EndpointReceiver implements TopicFollower.Receiver {

  /**
   * Maximum number of changes retained for other hosts, which keeps an update within one datagram
   * of a few kilobytes. A host that has missed earlier changes reads the store itself.
   */
  private static final int MAX_CHANGES = 12;

  /** Maximum size of these changes, below that of the largest datagram that hosts accept. */
  private static final int MAX_CHANGED_BYTES = 12 * 1024;

  /** How long changes are retained, so that later datagrams compensate for a lost one. */
  private static final long CHANGE_RETENTION_NANOS = 3_000_000_000L;

  /** A changed entry and the time at which it was read. */
  private record Change(StoreRecord record, long readAt) {}

  private final ControlEventLoop loop;
  private final EndpointDirectory directory;
  private final DecisionLog log;
  private final Set<String> malformedKeys = new HashSet<>();
  private final Runnable onLoaded;
  private final LongConsumer onRead;
  private final Map<String, EndpointRecord> knownEndpoints = new HashMap<>();
  private final Map<String, byte[]> entries = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private long completeFrom = Long.MAX_VALUE;
  private boolean loaded;

  /**
   * Creates a receiver.
   *
   * @param onLoaded runs after all entries have been loaded
   * @param onRead receives the next offset after each read
   */
  public EndpointReceiver(
      ControlEventLoop loop,
      EndpointDirectory directory,
      DecisionLog log,
      Runnable onLoaded,
      LongConsumer onRead) {
    this.loop = loop;
    this.directory = directory;
    this.log = log;
    this.onLoaded = onLoaded;
    this.onRead = onRead;
  }

  @Override
  public void onSnapshot(List<StoreRecord> records, long nextOffset) {
    long now = loop.nanoTime();
    loaded = true;
    changes.clear();
    completeFrom = nextOffset;
    knownEndpoints.clear();
    directory.registryRead(now);
    List<EndpointRecord> endpoints = new ArrayList<>();
    Set<String> listed = new HashSet<>();
    for (StoreRecord record : records) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        listed.add(record.key());
        decode(record.key(), value, endpoints);
      }
    }
    entries.keySet().retainAll(listed);
    endpoints.forEach(endpoint -> knownEndpoints.put(endpoint.id(), endpoint.withoutHeartbeat()));
    directory.replaceAll(endpoints, now);
    directory.tick(now);
    onLoaded.run();
  }

  @Override
  public void onRecords(List<StoreRecord> records, long nextOffset) {
    long now = loop.nanoTime();
    directory.registryRead(now);
    records.forEach(record -> apply(record, now));
    directory.tick(now);
    while (changes.size() > MAX_CHANGES
        || changedBytes() > MAX_CHANGED_BYTES
        || isExpired(changes.peekFirst(), now)) {
      completeFrom = changes.removeFirst().record().offset() + 1;
    }
    onRead.accept(nextOffset);
  }

  private void apply(StoreRecord record, long now) {
    byte[] value = record.value();
    List<EndpointRecord> endpoints = new ArrayList<>();
    if (value != null && !decode(record.key(), value, endpoints)) {
      return;
    }
    EndpointRecord newer = endpoints.isEmpty() ? null : endpoints.get(0);
    EndpointRecord current = newer == null ? null : newer.withoutHeartbeat();
    EndpointRecord previous =
        current == null
            ? knownEndpoints.remove(record.key())
            : knownEndpoints.put(record.key(), current);
    if (!Objects.equals(previous, current)) {
      // Other hosts learn of a malformed entry as a removal, which keeps their update short.
      changes.addLast(new Change(newer == null ? removal(record) : record, now));
    }
    if (newer == null) {
      entries.remove(record.key());
      directory.remove(record.key(), now);
    } else {
      directory.put(newer);
    }
  }

  private static StoreRecord removal(StoreRecord record) {
    return new StoreRecord(record.offset(), record.key(), null);
  }

  /** Returns the recent changes, for hosts that do not read the store. */
  public List<StoreRecord> changes() {
    return changes.stream().map(Change::record).toList();
  }

  private int changedBytes() {
    int bytes = 0;
    for (Change change : changes) {
      byte[] value = change.record().value();
      bytes += change.record().key().length() + (value == null ? 0 : value.length);
    }
    return bytes;
  }

  private static boolean isExpired(@Nullable Change change, long now) {
    return change != null && now - change.readAt() > CHANGE_RETENTION_NANOS;
  }

  /** Returns the offset from which on {@link #changes} are complete. */
  public long completeFrom() {
    return completeFrom;
  }

  /** Returns the current entries by key, in encoded form. */
  public Map<String, byte[]> entries() {
    return Map.copyOf(entries);
  }

  /**
   * Decodes an entry and adds it to a list unless it is malformed or outdated.
   *
   * @return false if it is outdated, so that the known entry stays
   */
  private boolean decode(String id, byte[] value, List<EndpointRecord> endpoints) {
    try {
      EndpointRecord endpoint = EndpointDecoder.decode(id, value);
      if (directory.isOutdated(endpoint)) {
        logOutdated(endpoint);
        return false;
      }
      endpoints.add(endpoint);
      entries.put(id, value);
    } catch (MalformedRecordException e) {
      if (malformedKeys.add(id)) {
        log.event("endpoint_entry_rejected", "key", id, "reason", e.getMessage());
      }
    }
    return true;
  }

  private void logOutdated(EndpointRecord endpoint) {
    log.event(
        "endpoint_entry_outdated",
        "endpoint",
        endpoint.id(),
        "heartbeat",
        endpoint.heartbeat(),
        "draining",
        endpoint.isDraining());
  }

  /**
   * Starts a grace period: entries that the copy lacks are kept until their endpoints have had the
   * time to register again.
   */
  @Override
  public void onRestored() {
    directory.registryLost();
  }

  @Override
  public void onUnavailable(String reason) {
    directory.registryLost();
  }

  /** Loads entries that another host has read, while this host can't read the store. */
  public void loadFromPeer(Map<String, byte[]> peerEntries) {
    if (loaded) {
      return;
    }
    List<EndpointRecord> endpoints = new ArrayList<>();
    peerEntries.forEach((id, value) -> decode(id, value, endpoints));
    endpoints.forEach(directory::put);
    loaded = true;
    directory.registryLost();
    onLoaded.run();
  }

  /** Returns whether the entries have been loaded. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the number of keys with malformed entries. */
  public int malformedKeys() {
    return malformedKeys.size();
  }
}
