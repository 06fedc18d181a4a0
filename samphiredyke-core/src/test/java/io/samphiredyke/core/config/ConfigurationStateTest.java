package io.samphiredyke.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {

  private static final int RECORDS = 60;

  private static Tier tier(int rank) {
    return new Tier("tier-" + rank, rank);
  }

  private static ConfigurationRecord record(String id, Change... changes) {
    return ConfigurationRecord.ofChanges(id, "author of " + id, 0, List.of(changes));
  }

  /** Returns random records, many of them stale, broken or repeated. */
  private static List<ConfigurationRecord> randomRecords(long seed) {
    Random random = new Random(seed);
    ConfigurationState state = new ConfigurationState();
    List<ConfigurationRecord> records = new ArrayList<>();
    for (int i = 0; i < RECORDS; i++) {
      ConfigurationRecord next = randomRecord(i, random, state.configuration());
      if (!records.isEmpty() && random.nextInt(4) == 0) {
        next = records.get(random.nextInt(records.size()));
      }
      records.add(next);
      state.apply(i, next);
    }
    return records;
  }

  private static ConfigurationRecord randomRecord(int id, Random random, Configuration current) {
    List<Change> changes = new ArrayList<>();
    for (Item item : randomItems(random)) {
      long base = Math.max(0, current.version(item.key()) - (random.nextInt(5) == 0 ? 1 : 0));
      boolean deleted = random.nextInt(4) == 0;
      changes.add(deleted ? Change.delete(item.key(), base) : Change.put(item, base));
    }
    return ConfigurationRecord.ofChanges("r" + id, "operator", id, changes);
  }

  private static List<Item> randomItems(Random random) {
    Tier tier = tier(random.nextInt(3));
    DataCentre dataCentre = new DataCentre("place-" + random.nextInt(2), "north");
    Service service =
        Service.builder()
            .name("service-" + random.nextInt(2))
            .kind(ServiceKind.PLAIN)
            .tier(tier.name())
            .dataCentres(Set.of("place-" + random.nextInt(2)))
            .build();
    return switch (random.nextInt(3)) {
      case 0 -> List.of(tier, dataCentre);
      case 1 -> List.of(service);
      default -> List.of(tier, dataCentre, service);
    };
  }

  private static void applyFrom(ConfigurationState state, List<ConfigurationRecord> records) {
    for (int i = (int) state.nextOffset(); i < records.size(); i++) {
      state.apply(i, records.get(i));
    }
  }

  @Property(tries = 300, seed = "41")
  void isTheSameFromAnySnapshot(
      @ForAll long seed,
      @ForAll @IntRange(max = RECORDS) int cut,
      @ForAll @IntRange(min = 1, max = 9) int size) {
    List<ConfigurationRecord> records = randomRecords(seed);
    ConfigurationState whole = new ConfigurationState();
    applyFrom(whole, records);

    ConfigurationState partial = new ConfigurationState();
    applyFrom(partial, records.subList(0, cut));
    SnapshotAssembler assembler = new SnapshotAssembler();
    Snapshot restored = null;
    for (SnapshotChunk chunk : partial.snapshot().chunks("s", size)) {
      restored = assembler.add(chunk).orElse(restored);
    }
    ConfigurationState resumed = new ConfigurationState(restored);
    applyFrom(resumed, records);

    assertThat(resumed.snapshot()).isEqualTo(whole.snapshot());
    assertThat(resumed.configuration().digest()).isEqualTo(whole.configuration().digest());
  }

  @Property(tries = 300, seed = "42")
  void neverRevertsAndAppliesEachRecordOnce(@ForAll long seed) {
    List<ConfigurationRecord> records = randomRecords(seed);
    ConfigurationState state = new ConfigurationState();
    Map<ItemKey, Long> versions = new HashMap<>();
    Map<String, Integer> applied = new HashMap<>();
    for (int i = 0; i < records.size(); i++) {
      ApplyResult result = state.apply(i, records.get(i));
      Configuration now = state.configuration();
      assertThat(now.offset()).isEqualTo(i);
      if (result instanceof ApplyResult.Applied) {
        applied.merge(records.get(i).recordId(), 1, Integer::sum);
      }
      for (VersionedItem versioned : now.items().values()) {
        Long before = versions.put(versioned.item().key(), versioned.version());
        assertThat(versioned.version()).isGreaterThanOrEqualTo(before == null ? 0 : before);
      }
      Map<ItemKey, Item> items = new HashMap<>();
      now.items().forEach((key, versioned) -> items.put(key, versioned.item()));
      assertThat(ReferenceValidator.check(items)).isEmpty();
    }
    assertThat(applied.values()).allMatch(count -> count == 1);
  }

  @Property(tries = 100, seed = "43")
  void racingOperatorsGetOneWinnerAndClearConflicts(
      @ForAll @IntRange(min = 2, max = 8) int operators, @ForAll long seed) {
    ConfigurationState state = new ConfigurationState();
    state.apply(0, record("base", Change.put(new DataCentre("a", "north"), VersionedItem.ABSENT)));
    long base = state.configuration().version(new ItemKey(ItemKind.DATA_CENTRE, "a"));
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < operators; i++) {
      order.add(i);
    }
    Collections.shuffle(order, new Random(seed));
    int winners = 0;
    for (int i = 0; i < operators; i++) {
      String id = "operator-" + order.get(i);
      Change change = Change.put(new DataCentre("a", id), base);
      ApplyResult result = state.apply(i + 1, record(id, change));
      if (result instanceof ApplyResult.Applied) {
        winners++;
        continue;
      }
      Finding conflict = ((ApplyResult.Rejected) result).findings().get(0);
      assertThat(conflict.code()).isEqualTo(Finding.Code.STALE_BASE);
      assertThat(conflict.message()).contains("author of operator-" + order.get(0));
    }
    assertThat(winners).isEqualTo(1);
  }

  @Test
  void appliesNewItemsThatReferToEachOtherTogetherOrNotAtAll() {
    Service service =
        Service.builder().name("drafts").model("m").tier("tier-0").dataCentres(Set.of("a")).build();
    ConfigurationState state = new ConfigurationState();
    ApplyResult alone = state.apply(0, record("1", Change.put(service, 0), Change.put(tier(0), 0)));
    assertThat(((ApplyResult.Rejected) alone).findings())
        .extracting(Finding::field)
        .containsExactly("dataCentres");
    assertThat(state.configuration().items()).isEmpty();

    ApplyResult together =
        state.apply(
            1,
            record(
                "2",
                Change.put(service, 0),
                Change.put(tier(0), 0),
                Change.put(new DataCentre("a", "north"), 0)));
    assertThat(together).isInstanceOf(ApplyResult.Applied.class);
  }

  @Test
  void keepsRejectionOfRepeatedRecordThoughItWouldNowApply() {
    ConfigurationState state = new ConfigurationState();
    Change early = Change.put(new DataCentre("a", "south"), 1);
    state.apply(0, record("early", early));
    state.apply(1, record("create", Change.put(new DataCentre("b", "north"), 0)));
    ConfigurationRecord delete =
        record("delete", Change.delete(new ItemKey(ItemKind.DATA_CENTRE, "b"), 2));
    assertThat(state.apply(2, delete)).isInstanceOf(ApplyResult.Applied.class);
    assertThat(state.apply(3, record("create", Change.put(new DataCentre("b", "north"), 0))))
        .isInstanceOf(ApplyResult.Duplicate.class);
    assertThat(state.configuration().items()).isEmpty();
    assertThat(state.apply(3, delete)).isEqualTo(new ApplyResult.OutOfOrder(3, 4));
  }

  @Test
  void refusesDeletionOfWhatIsReferredTo() {
    ConfigurationState state = new ConfigurationState();
    Endpoint endpoint =
        Endpoint.builder()
            .name("e")
            .address("127.0.0.1:21001")
            .dataCentre("a")
            .models(Set.of("m"))
            .build();
    state.apply(
        0, record("1", Change.put(new DataCentre("a", "north"), 0), Change.put(endpoint, 0)));
    ApplyResult result =
        state.apply(1, record("2", Change.delete(new ItemKey(ItemKind.DATA_CENTRE, "a"), 1)));
    assertThat(((ApplyResult.Rejected) result).findings().get(0).toString())
        .isEqualTo("endpoint e.dataCentre: there is no data centre a");
  }
}
