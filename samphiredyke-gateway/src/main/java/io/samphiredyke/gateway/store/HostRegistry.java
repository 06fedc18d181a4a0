package io.samphiredyke.gateway.store;

import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreException;
import io.samphiredyke.platform.StoreRecord;
import io.samphiredyke.platform.WireAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Registers the peer address of this host in the store and reads those of the other hosts.
 *
 * <p>It supplements the seeds of the settings, which do not contain hosts that were added later and
 * may all have been removed. It does not indicate whether a host is alive, which only probes
 * detect.
 */
public final class HostRegistry {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

  /** Longest time for the removal of this host's address, which delays the end of its process. */
  public static final Duration LEAVE_TIMEOUT = Duration.ofMillis(300);

  private static final int MAX_LEAVE_ATTEMPTS = 3;
  private static final byte[] REMOVED = {};

  /** Bound of the random delay of a write that all hosts make for the same reason. */
  private static final long MAX_SPREAD_MILLIS = 1_000;

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final String hostName;
  private final String peerAddress;
  private final Consumer<List<String>> receiver;
  private final DecisionLog log;
  private boolean hasCompletedRead;
  private boolean isLeaving;

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

  /** Reads the addresses of the other hosts and writes the address of this one. */
  public void start() {
    read();
    write();
  }

  /**
   * Writes the address again, because the store was restored from an older copy that may lack it,
   * and reads those of the other hosts. The delay spreads the calls of all hosts.
   */
  public void registerAgain(RandomGenerator random) {
    loop.schedule(this::write, Duration.ofMillis(random.nextLong(MAX_SPREAD_MILLIS)));
  }

  /**
   * Removes the address of this host, whose process ends, so that hosts that start later do not
   * count it as one that may be cut off.
   *
   * @return completes within {@link #LEAVE_TIMEOUT}, also if the address could not be removed;
   *     hosts then count it for as long as one that was killed
   */
  public CompletableFuture<Void> unregister() {
    isLeaving = true;
    CompletableFuture<Void> ended = new CompletableFuture<>();
    loop.schedule(() -> ended.complete(null), LEAVE_TIMEOUT);
    remove(MAX_LEAVE_ATTEMPTS)
        .whenComplete((done, failure) -> loop.execute(() -> onRemoved(failure, ended)));
    return ended;
  }

  private void onRemoved(@Nullable Throwable failure, CompletableFuture<Void> ended) {
    log.event(
        "host_unregistered", "host", hostName, "reason", failure == null ? "" : failure.toString());
    ended.complete(null);
  }

  /**
   * The removal is conditional on the position read before it: if it is executed late, it does not
   * remove the address that the next process of this host has written.
   */
  private CompletableFuture<Void> remove(int attempts) {
    CompletableFuture<Void> removed =
        store.readNewest(StoreClient.HOST_TOPIC, LEAVE_TIMEOUT).thenCompose(this::removeFrom);
    return removed.exceptionallyCompose(
        failure ->
            attempts > 1 && isConflict(failure)
                ? remove(attempts - 1)
                : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<Void> removeFrom(StoreBatch batch) {
    return batch.records().stream().anyMatch(this::isOwn)
        ? store.putAt(StoreClient.HOST_TOPIC, hostName, REMOVED, batch.nextOffset(), LEAVE_TIMEOUT)
        : CompletableFuture.completedFuture(null);
  }

  private boolean isOwn(StoreRecord record) {
    byte[] value = record.value();
    return record.key().equals(hostName)
        && value != null
        && new String(value, StandardCharsets.UTF_8).equals(peerAddress);
  }

  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException refusal && refusal.isConflict();
  }

  private void write() {
    if (isLeaving) {
      return;
    }
    byte[] value = peerAddress.getBytes(StandardCharsets.UTF_8);
    store
        .put(StoreClient.HOST_TOPIC, hostName, value, TIMEOUT)
        .whenComplete((done, failure) -> loop.execute(() -> onWritten(failure == null)));
  }

  /**
   * Reads again, because hosts that started at the same time may have written after the first read.
   */
  private void onWritten(boolean isWritten) {
    loop.schedule(isWritten ? this::read : this::write, RETRY_INTERVAL);
  }

  private void read() {
    loop.whenDone(
        store.readNewest(StoreClient.HOST_TOPIC, TIMEOUT), this::onHosts, this::onFailure);
  }

  private void onFailure(Throwable failure) {
    log.event("hosts_not_listed", "reason", String.valueOf(failure.getMessage()));
    hasCompletedRead = true;
    loop.schedule(this::read, RETRY_INTERVAL);
  }

  /** Returns whether a read has completed, successfully or not. */
  public boolean hasCompletedRead() {
    return hasCompletedRead;
  }

  private void onHosts(StoreBatch batch) {
    List<String> addresses = new ArrayList<>();
    for (StoreRecord record : batch.records()) {
      byte[] value = record.value();
      if (value != null && value.length > 0) {
        addAddress(record.key(), new String(value, StandardCharsets.UTF_8), addresses);
      }
    }
    hasCompletedRead = true;
    log.event("hosts_listed", "hosts", addresses.size());
    receiver.accept(addresses);
  }

  private void addAddress(String host, String value, List<String> addresses) {
    try {
      addresses.add(WireAddress.parse("address", value));
    } catch (MalformedRecordException e) {
      log.event("host_record_rejected", "key", host, "reason", e.getMessage());
    }
  }
}
