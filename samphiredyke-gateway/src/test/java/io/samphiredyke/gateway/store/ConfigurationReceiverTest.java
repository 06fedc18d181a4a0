package io.samphiredyke.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationReceiverTest {

  private long active = -1;
  private final ConfigurationReceiver receiver =
      new ConfigurationReceiver(
          this::configure,
          records -> {},
          () -> {},
          new DecisionLog(OutputStream.nullOutputStream(), () -> 0));

  private boolean configure(ServingConfiguration configuration, long offset) {
    if (configuration.version() <= active) {
      return false;
    }
    active = configuration.version();
    return true;
  }

  private static StoreRecord record(long offset, int version) {
    String json = PlatformFixtures.configuration(version, List.of(), List.of(PlatformFixtures.KEY));
    return new StoreRecord(
        offset, StoreClient.CONFIGURATION_KEY, json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void highestVersionOfABatchIsAppliedAlthoughAnOlderOneFollowsIt() {
    receiver.onRecords(List.of(record(0, 1), record(1, 3), record(2, 2)), 3);
    assertThat(active).isEqualTo(3);
  }

  @Test
  void olderVersionDoesNotReplaceTheBytesForOtherHosts() {
    receiver.onRecords(List.of(record(1, 3)), 2);
    receiver.onSnapshot(List.of(record(0, 2)), 1);
    assertThat(new String(receiver.newestBytes(), StandardCharsets.UTF_8))
        .contains("\"Version\":3");
  }
}
