package io.samphiredyke.gateway.store;

import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlLoop;
import io.samphiredyke.platform.EndpointDecoder;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.StoreRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Decodes the entries of endpoints and keeps the directory of them. */
public final class EndpointReceiver implements TopicFollower.Receiver {

  private final ControlLoop loop;
  private final EndpointDirectory directory;
  private final DecisionLog log;
  private final Set<String> malformedKeys = new HashSet<>();
  private final Runnable onListed;
  private boolean listed;

  /**
   * Creates a receiver.
   *
   * @param onListed is run after each whole list
   */
  public EndpointReceiver(
      ControlLoop loop, EndpointDirectory directory, DecisionLog log, Runnable onListed) {
    this.loop = loop;
    this.directory = directory;
    this.log = log;
    this.onListed = onListed;
  }

  @Override
  public void listed(List<StoreRecord> records) {
    long now = loop.now();
    listed = true;
    directory.registryRead(now);
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (StoreRecord record : records) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        decode(record.key(), value, endpoints);
      }
    }
    directory.replaceAll(endpoints, now);
    directory.tick(now);
    onListed.run();
  }

  @Override
  public void read(List<StoreRecord> records) {
    long now = loop.now();
    directory.registryRead(now);
    for (StoreRecord record : records) {
      byte[] value = record.value();
      List<EndpointRecord> endpoints = new ArrayList<>();
      if (value != null) {
        decode(record.key(), value, endpoints);
      }
      if (endpoints.isEmpty()) {
        directory.remove(record.key(), now);
      } else {
        directory.put(endpoints.get(0));
      }
    }
    directory.tick(now);
  }

  private void decode(String id, byte[] value, List<EndpointRecord> endpoints) {
    try {
      endpoints.add(EndpointDecoder.decode(id, value));
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

  /** Returns whether the entries were listed once. */
  public boolean isListed() {
    return listed;
  }

  /** Returns how many keys held entries that could not be used. */
  public int malformedKeys() {
    return malformedKeys.size();
  }
}
