package io.samphiredyke.gateway.rollout;

import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.RolloutCodec;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the stages of roll-outs in the store, and the status that the operator reads.
 *
 * <p>Each write is conditional on the position read before it, so that a write that is executed
 * late or by another host that decides changes nothing.
 */
final class RolloutArchive {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final ControlEventLoop loop;
  private final StoreClient store;

  RolloutArchive(ControlEventLoop loop, StoreClient store) {
    this.loop = loop;
    this.store = store;
  }

  /** A stored state and the end of the topic when it was read. */
  record Stored(@Nullable RolloutState state, long end) {}

  /** Reads the state of a service; a malformed record counts as none. */
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
          return null;
        }
      }
    }
    return null;
  }

  /**
   * Writes a state unless the store has one that supersedes the state from which it follows.
   *
   * @param previous the state from which it follows, or the state itself
   * @return the superseding state, or empty if the state and its status were written
   */
  CompletableFuture<Optional<RolloutState>> write(
      RolloutState state, RolloutState previous, long elapsedMillis) {
    String service = state.order().service();
    byte[] encoded = RolloutCodec.encodeState(state, loop.epochMillis() - elapsedMillis);
    return read(service)
        .thenCompose(
            stored -> {
              RolloutState other = stored.state();
              if (other != null && other.supersedes(previous)) {
                return CompletableFuture.completedFuture(Optional.of(other));
              }
              return store
                  .putAt(StoreClient.ROLLOUT_TOPIC, service, encoded, stored.end(), TIMEOUT)
                  .thenCompose(done -> writeStatus(state))
                  .thenApply(done -> Optional.empty());
            });
  }

  private CompletableFuture<Void> writeStatus(RolloutState state) {
    String key = StoreClient.ROLLOUT_PREFIX + state.order().service();
    return store
        .readNewest(StoreClient.STATUS_TOPIC, TIMEOUT)
        .thenCompose(
            batch ->
                store.putAt(
                    StoreClient.STATUS_TOPIC,
                    key,
                    RolloutCodec.encodeStatus(state),
                    batch.nextOffset(),
                    TIMEOUT));
  }
}
