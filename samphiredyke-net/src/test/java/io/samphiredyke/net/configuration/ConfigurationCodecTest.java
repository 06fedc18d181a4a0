package io.samphiredyke.net.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.ConfigurationState;
import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.Defaults;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.config.ItemKind;
import io.samphiredyke.core.config.LogEntry;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.PeerResponse;
import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.config.Tier;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the JSON encoding of configuration records, log pages and peer responses. */
class ConfigurationCodecTest {

  private static final List<Item> ITEMS =
      List.of(
          new Tier("urgent", 0),
          new DataCentre("oslo-1", "oslo"),
          Customer.builder().name("c").keyDigests(Set.of("a".repeat(64))).weight(3).build(),
          Service.builder()
              .name("s")
              .model("m")
              .tier("urgent")
              .dataCentres(Set.of("oslo-1"))
              .idempotent(true)
              .build(),
          Endpoint.builder()
              .name("e")
              .address("127.0.0.1:21001")
              .dataCentre("oslo-1")
              .models(Set.of("m"))
              .notRunStatuses(Set.of(503, 429))
              .build(),
          Placement.builder().name("p").endpoint("e").model("m").version("2").build(),
          Defaults.builder().build());

  private static ConfigurationRecord record() {
    List<Change> changes = new ArrayList<>();
    ITEMS.forEach(item -> changes.add(Change.put(item, 0)));
    changes.add(Change.delete(new ItemKey(ItemKind.TIER, "old"), 7));
    return ConfigurationRecord.ofChanges("id", "operator", 12, changes);
  }

  @Test
  void roundTripsRecordsWithEveryKindOfItem() throws Exception {
    ConfigurationRecord decoded = ConfigurationCodec.decode(ConfigurationCodec.encode(record()));
    assertThat(decoded).isEqualTo(record());
  }

  @Test
  void roundTripsSnapshotsAndPeerResponses() throws Exception {
    ConfigurationState state = new ConfigurationState();
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges("id", "operator", 12, record().changes().subList(0, 7));
    state.apply(0, record);
    assertThat(state.snapshot().items()).hasSize(7);
    ConfigurationRecord chunk =
        ConfigurationRecord.ofSnapshot("x", "host", 1, state.snapshot().chunks("x", 99).get(0));
    assertThat(ConfigurationCodec.decode(ConfigurationCodec.encode(chunk))).isEqualTo(chunk);

    List<LogEntry> entries = List.of(new LogEntry(0, 5, record), new LogEntry(1, 6, chunk));
    PeerResponse response = new PeerResponse(2, entries, state.snapshot(), 6);
    byte[] encoded = ConfigurationCodec.encode(response);
    assertThat(ConfigurationCodec.decodePeerResponse(encoded)).isEqualTo(response);
  }

  @Test
  void pagesKeepTheOffsetOfRecordsThatCannotBeDecoded() throws Exception {
    String body =
        "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"time\":3,\"value\":{\"x\":1}}]}";
    LogPage page = ConfigurationCodec.decodePage(body.getBytes(StandardCharsets.UTF_8));
    assertThat(page.entries()).containsExactly(new LogEntry(0, 3, null));
  }

  @Test
  void missingFieldsTakeDefaultValues() throws Exception {
    byte[] body =
        ("{\"recordId\":\"1\",\"author\":\"a\",\"timeMillis\":0,"
                + "\"changes\":[{\"kind\":\"CUSTOMER\","
                + "\"name\":\"c\",\"operation\":\"PUT\",\"baseVersion\":0,"
                + "\"value\":{\"name\":\"c\",\"addedLater\":1}}]}")
            .getBytes(StandardCharsets.UTF_8);
    assertThat(ConfigurationCodec.decode(body).changes().get(0).value())
        .isEqualTo(Customer.builder().name("c").build());
  }

  @Test
  void errorsContainThePathOrPosition() {
    byte[] body =
        ("{\"recordId\":\"1\",\"author\":\"a\",\"timeMillis\":0,"
                + "\"changes\":[{\"kind\":\"TIER\","
                + "\"name\":\"t\",\"operation\":\"PUT\",\"baseVersion\":0,"
                + "\"value\":{\"name\":\"t\",\"rank\":\"top\"}}]}")
            .getBytes(StandardCharsets.UTF_8);
    assertThatThrownBy(() -> ConfigurationCodec.decode(body))
        .isInstanceOf(ConfigurationFormatException.class)
        .hasMessageStartingWith("/changes/0/value/rank");
    assertThatThrownBy(
            () -> ConfigurationCodec.decode("{\"a\":\n]".getBytes(StandardCharsets.UTF_8)))
        .hasMessage("is not JSON at line 2, column 1");
  }
}
