package io.samphiredyke.gateway.store;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tells the other hosts through the store where this one is, and learns of them.
 *
 * <p>It covers what the seeds of the settings do not: hosts that were added, or seeds that are all
 * gone. Who is alive is found out by probes alone.
 */
public final class HostRegistry {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration PAUSE = Duration.ofSeconds(2);

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final String hostName;
  private final String peerAddress;
  private final Consumer<List<String>> receiver;
  private final DecisionLog log;
  private boolean hasAsked;

  /** Creates a registry. */
  public HostRegistry(
      ControlEventLoop loop,
      StoreClient store,
      String hostName,
      String peerAddress,
      Consumer<List<String>> receiver,
      DecisionLog log) {
    this.loop = loop;
    this.store = store;
    this.hostName = hostName;
    this.peerAddress = peerAddress;
    this.receiver = receiver;
    this.log = log;
  }

  /** Reads the addresses of the others and writes this host's own. */
  public void start() {
    read();
    write();
  }

  private void write() {
    byte[] value = peerAddress.getBytes(StandardCharsets.UTF_8);
    store
        .put(StoreClient.HOST_TOPIC, hostName, value, TIMEOUT)
        .whenComplete((done, failure) -> loop.execute(() -> written(failure == null)));
  }

  /** Reads once more: hosts that started at the same time may have written after the first read. */
  private void written(boolean isWritten) {
    loop.schedule(isWritten ? this::read : this::write, PAUSE);
  }

  private void read() {
    loop.whenDone(store.newest(StoreClient.HOST_TOPIC, TIMEOUT), this::listed, this::failed);
  }

  private void failed(Throwable failure) {
    log.event("hosts_not_listed", "reason", String.valueOf(failure.getMessage()));
    hasAsked = true;
    loop.schedule(this::read, PAUSE);
  }

  /** Returns whether the store has answered or failed to. */
  public boolean hasAsked() {
    return hasAsked;
  }

  private void listed(StoreBatch batch) {
    List<String> addresses = new ArrayList<>();
    for (StoreRecord record : batch.records()) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        addresses.add(new String(value, StandardCharsets.UTF_8));
      }
    }
    hasAsked = true;
    log.event("hosts_listed", "hosts", addresses.size());
    receiver.accept(addresses);
  }
}
