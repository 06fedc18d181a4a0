package io.samphiredyke.gateway.store;

import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.ConfigurationDecoder;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.util.List;
import java.util.function.Consumer;

/** Decodes configuration records and applies those that are newer than the active one. */
public final class ConfigurationReceiver implements TopicFollower.Receiver {

  /** Applies a configuration. */
  public interface Target {

    /**
     * Applies a configuration if it is newer than the active one.
     *
     * @param offset offset of its record, {@link #NO_OFFSET} if another host sent it
     * @return whether it is newer
     */
    boolean configure(ServingConfiguration configuration, long offset);
  }

  /** Offset of a configuration that was not read from the store. */
  public static final long NO_OFFSET = -1;

  private final Target target;
  private final Consumer<List<StoreRecord>> recordListener;
  private final Runnable onRead;
  private final DecisionLog log;
  private byte[] newestBytes = new byte[0];

  /**
   * Creates a receiver.
   *
   * @param recordListener receives all records of the topic
   * @param onRead runs after each response of the store
   */
  public ConfigurationReceiver(
      Target target, Consumer<List<StoreRecord>> recordListener, Runnable onRead, DecisionLog log) {
    this.target = target;
    this.recordListener = recordListener;
    this.onRead = onRead;
    this.log = log;
  }

  @Override
  public void onSnapshot(List<StoreRecord> records, long nextOffset) {
    onRecords(records, nextOffset);
  }

  /**
   * Applies the highest version among the records. The last record is not always the newest: a
   * delayed write or a restored copy may put an older version behind a newer one.
   */
  @Override
  public void onRecords(List<StoreRecord> records, long nextOffset) {
    for (StoreRecord record : records) {
      byte[] value = record.value();
      if (record.key().equals(StoreClient.CONFIGURATION_KEY) && value != null) {
        apply(record.offset(), value);
      }
    }
    recordListener.accept(records);
    onRead.run();
  }

  /** Applies a configuration that another host has in force, in encoded form. */
  public void applyFromPeer(byte[] value) {
    apply(NO_OFFSET, value);
  }

  private void apply(long offset, byte[] value) {
    try {
      ServingConfiguration configuration = ConfigurationDecoder.decode(value);
      if (target.configure(configuration, offset)) {
        newestBytes = value;
      } else {
        log.event("config_not_newer", "version", configuration.version(), "offset", offset);
      }
    } catch (MalformedRecordException e) {
      log.event("config_rejected", "offset", offset, "reason", e.getMessage());
    }
  }

  /** Returns the newest valid configuration in encoded form, empty before the first one. */
  public byte[] newestBytes() {
    return newestBytes;
  }

  @Override
  public void onRestored() {
    // Versions only increase, so the active configuration stays until the operator's next one.
  }

  @Override
  public void onUnavailable(String reason) {
    // The active configuration stays active until a newer one is read.
  }
}
