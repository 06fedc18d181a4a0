package io.samphiredyke.gateway.store;

import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.ConfigurationDecoder;
import io.samphiredyke.platform.MalformedRecordException;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.util.List;
import java.util.function.Consumer;

/** Decodes configurations and hands on the newest one. */
public final class ConfigurationReceiver implements TopicFollower.Receiver {

  private final Consumer<ServingConfiguration> receiver;
  private final DecisionLog log;
  private byte[] newestBytes = new byte[0];

  /** Creates a receiver. */
  public ConfigurationReceiver(Consumer<ServingConfiguration> receiver, DecisionLog log) {
    this.receiver = receiver;
    this.log = log;
  }

  @Override
  public void onSnapshot(List<StoreRecord> records, long next) {
    onRecords(records, next);
  }

  @Override
  public void onRecords(List<StoreRecord> records, long next) {
    for (int i = records.size() - 1; i >= 0; i--) {
      StoreRecord record = records.get(i);
      byte[] value = record.value();
      if (!record.key().equals(StoreClient.CONFIGURATION_KEY) || value == null) {
        continue;
      }
      try {
        receiver.accept(ConfigurationDecoder.decode(value));
        newestBytes = value;
        return;
      } catch (MalformedRecordException e) {
        log.event("config_rejected", "offset", record.offset(), "reason", e.getMessage());
      }
    }
  }

  /** Returns the newest configuration as it was read, empty before the first one. */
  public byte[] newestBytes() {
    return newestBytes;
  }

  @Override
  public void onUnavailable(String reason) {
    // The configuration in force stays in force until a newer one is read.
  }
}
