package io.samphiredyke.gateway.rollout;

import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.RolloutCodec;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreException;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the stages of roll-outs in the store, and the status that the operator reads.
 *
 * <p>Each write is conditional on the position read before it, so that a write that is executed
 * late or by another host that decides changes nothing.
 */
final class RolloutArchive {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Repetitions of a write after conflicts. */
  private static final int MAX_REPETITIONS = 8;

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final RolloutLog log;

  RolloutArchive(ControlEventLoop loop, StoreClient store, RolloutLog log) {
    this.loop = loop;
    this.store = store;
    this.log = log;
  }

  /** A stored state and the end of the topic when it was read. */
  record Stored(@Nullable RolloutState state, long end) {}

  /** Reads the state of a service; a malformed record is logged and counts as none. */
  CompletableFuture<Stored> read(String service) {
    return store
        .readNewest(StoreClient.ROLLOUT_TOPIC, TIMEOUT)
        .thenApply(batch -> new Stored(find(batch, service), batch.nextOffset()));
  }

  private @Nullable RolloutState find(StoreBatch batch, String service) {
    for (StoreRecord record : batch.records()) {
      byte[] value = record.value();
      if (record.key().equals(service) && value != null && value.length > 0) {
        try {
          return RolloutCodec.decodeState(value, loop.epochMillis());
        } catch (MalformedRecordException e) {
          log.rejected(service, e.getMessage());
          return null;
        }
      }
    }
    return null;
  }

  /**
   * Writes a state unless the store has one that supersedes the state from which it follows. A
   * write that meets another one, as of another service's roll-out, is repeated at once.
   *
   * @param previous the state from which it follows, or the state itself
   * @return the superseding state, or empty if the state and its status were written
   */
  CompletableFuture<Optional<RolloutState>> write(
      RolloutState state, RolloutState previous, long elapsedMillis) {
    byte[] encoded = RolloutCodec.encodeState(state, loop.epochMillis() - elapsedMillis);
    return write(state, previous, encoded, MAX_REPETITIONS);
  }

  private CompletableFuture<Optional<RolloutState>> write(
      RolloutState state, RolloutState previous, byte[] encoded, int repetitions) {
    return writeOnce(state, previous, encoded)
        .exceptionallyCompose(
            failure ->
                repetitions > 0 && isConflict(failure)
                    ? write(state, previous, encoded, repetitions - 1)
                    : CompletableFuture.failedFuture(failure));
  }

  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException refusal && refusal.isConflict();
  }

  /** The status is read before the stage, so that an older one never replaces that of a later. */
  private CompletableFuture<Optional<RolloutState>> writeOnce(
      RolloutState state, RolloutState previous, byte[] encoded) {
    String service = state.order().service();
    return store
        .readNewest(StoreClient.STATUS_TOPIC, TIMEOUT)
        .thenCompose(
            status ->
                read(service)
                    .thenCompose(
                        stored -> {
                          RolloutState other = stored.state();
                          return other != null && isSuperseded(state, previous, other)
                              ? CompletableFuture.completedFuture(Optional.of(other))
                              : put(state, encoded, stored.end(), status.nextOffset());
                        }));
  }

  /** The same stage supersedes nothing; it may be of the write that is repeated. */
  private static boolean isSuperseded(
      RolloutState state, RolloutState previous, RolloutState other) {
    boolean isSame =
        other.order().offset() == state.order().offset() && other.stage() == state.stage();
    return !isSame && other.supersedes(previous);
  }

  private CompletableFuture<Optional<RolloutState>> put(
      RolloutState state, byte[] encoded, long stageEnd, long statusEnd) {
    String service = state.order().service();
    byte[] status = RolloutCodec.encodeStatus(state);
    String key = StoreClient.ROLLOUT_PREFIX + service;
    return store
        .putAt(StoreClient.ROLLOUT_TOPIC, service, encoded, stageEnd, TIMEOUT)
        .thenCompose(done -> store.putAt(StoreClient.STATUS_TOPIC, key, status, statusEnd, TIMEOUT))
        .thenApply(done -> Optional.empty());
  }
}
