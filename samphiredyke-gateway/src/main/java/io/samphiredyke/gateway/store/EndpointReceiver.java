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

/** Decodes the entries of endpoints and keeps the directory of them. */
public final class EndpointReceiver implements TopicFollower.Receiver {

  /**
   * Changes that are kept for other hosts, so that they fit into one datagram of some kilobytes. A
   * host that misses older ones reads the store itself.
   */
  private static final int MAX_CHANGES = 12;

  /** How long changes are kept; a lost datagram is made up for by the next ones. */
  private static final long KEEP_NANOS = 3_000_000_000L;

  /** A changed entry and when it was read. */
  private record Change(StoreRecord record, long readAt) {}

  private final ControlEventLoop loop;
  private final EndpointDirectory directory;
  private final DecisionLog log;
  private final Set<String> malformedKeys = new HashSet<>();
  private final Runnable onListed;
  private final LongConsumer onRead;
  private final Map<String, EndpointRecord> known = new HashMap<>();
  private final Map<String, byte[]> entries = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private long coveredFrom = Long.MAX_VALUE;
  private boolean listed;

  /**
   * Creates a receiver.
   *
   * @param onListed is run after each whole list
   * @param onRead learns the next offset after each read
   */
  public EndpointReceiver(
      ControlEventLoop loop,
      EndpointDirectory directory,
      DecisionLog log,
      Runnable onListed,
      LongConsumer onRead) {
    this.loop = loop;
    this.directory = directory;
    this.log = log;
    this.onListed = onListed;
    this.onRead = onRead;
  }

  @Override
  public void listed(List<StoreRecord> records, long next) {
    long now = loop.nanoTime();
    listed = true;
    changes.clear();
    coveredFrom = next;
    known.clear();
    entries.clear();
    directory.registryRead(now);
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (StoreRecord record : records) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        decode(record.key(), value, endpoints);
      }
    }
    endpoints.forEach(endpoint -> known.put(endpoint.id(), endpoint.withoutWarmUp()));
    directory.replaceAll(endpoints, now);
    directory.tick(now);
    onListed.run();
  }

  @Override
  public void read(List<StoreRecord> records, long next) {
    long now = loop.nanoTime();
    directory.registryRead(now);
    records.forEach(record -> apply(record, now));
    directory.tick(now);
    while (changes.size() > MAX_CHANGES || isOutdated(changes.peekFirst(), now)) {
      coveredFrom = changes.removeFirst().record().offset() + 1;
    }
    onRead.accept(next);
  }

  private void apply(StoreRecord record, long now) {
    byte[] value = record.value();
    List<EndpointRecord> endpoints = new ArrayList<>();
    if (value != null) {
      decode(record.key(), value, endpoints);
    }
    EndpointRecord newer = endpoints.isEmpty() ? null : endpoints.get(0);
    EndpointRecord facts = newer == null ? null : newer.withoutWarmUp();
    EndpointRecord before =
        facts == null ? known.remove(record.key()) : known.put(record.key(), facts);
    if (!Objects.equals(before, facts)) {
      changes.addLast(new Change(record, now));
    }
    if (newer == null) {
      entries.remove(record.key());
      directory.remove(record.key(), now);
    } else {
      directory.put(newer);
    }
  }

  /** Returns the latest changes, for hosts that do not read themselves. */
  public List<StoreRecord> changes() {
    return changes.stream().map(Change::record).toList();
  }

  private static boolean isOutdated(@Nullable Change change, long now) {
    return change != null && now - change.readAt() > KEEP_NANOS;
  }

  /** Returns the offset from which on {@link #changes} are complete. */
  public long coveredFrom() {
    return coveredFrom;
  }

  /** Returns the entries in force as they were read. */
  public Map<String, byte[]> entries() {
    return Map.copyOf(entries);
  }

  private void decode(String id, byte[] value, List<EndpointRecord> endpoints) {
    try {
      endpoints.add(EndpointDecoder.decode(id, value));
      entries.put(id, value);
    } catch (MalformedRecordException e) {
      if (malformedKeys.add(id)) {
        log.event("endpoint_entry_rejected", "key", id, "reason", e.getMessage());
      }
    }
  }

  @Override
  public void lost(String reason) {
    directory.registryLost();
  }

  /** Takes entries that another host read, while the store can't be read here. */
  public void heard(Map<String, byte[]> others) {
    if (listed) {
      return;
    }
    List<EndpointRecord> endpoints = new ArrayList<>();
    others.forEach((id, value) -> decode(id, value, endpoints));
    endpoints.forEach(directory::put);
    listed = true;
    directory.registryLost();
    onListed.run();
  }

  /** Returns whether the entries were listed once. */
  public boolean isListed() {
    return listed;
  }

  /** Returns how many keys held entries that could not be used. */
  public int malformedKeys() {
    return malformedKeys.size();
  }
}
