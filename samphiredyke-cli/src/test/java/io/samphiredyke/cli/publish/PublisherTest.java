package io.samphiredyke.cli.publish;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.ConfigurationState;
import io.samphiredyke.core.config.DataCentre;
import io.samphiredyke.core.config.LogEntry;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.PublishDecision;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks that a published record takes effect at most once and that the publisher never reports a
 * wrong outcome, although responses are lost, appends are delayed and other operators publish
 * concurrently.
 */
class PublisherTest {

  private static final long DEADLINE = TimeUnit.SECONDS.toNanos(20);

  /**
   * Simulated log that drops responses, rejects requests, delays appends and accepts records of
   * other operators in between.
   */
  private static final class FaultyLog implements ConfigurationLog {
    private final Random random;
    private final int faultPercent;
    private final List<ConfigurationRecord> records = new ArrayList<>();
    private final List<ConfigurationRecord> delayed = new ArrayList<>();
    private long nowNanos;

    FaultyLog(long seed, int faultPercent) {
      this.random = new Random(seed);
      this.faultPercent = faultPercent;
    }

    private boolean advanceAndDrawFault() {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
      if (random.nextInt(8) == 0) {
        records.add(concurrentRecord(records.size()));
      }
      if (random.nextInt(5) == 0) {
        records.addAll(delayed);
        delayed.clear();
      }
      return random.nextInt(100) < faultPercent;
    }

    @Override
    public long append(ConfigurationRecord record) throws LogUnavailableException {
      if (!advanceAndDrawFault()) {
        records.add(record);
        return records.size() - 1L;
      }
      switch (random.nextInt(3)) {
        case 0 -> records.add(record);
        case 1 -> delayed.add(record);
        default -> throw new LogUnavailableException("rejected", false);
      }
      throw new LogUnavailableException("the response was lost", true);
    }

    @Override
    public LogPage read(long from, long waitMillis) throws LogUnavailableException {
      if (advanceAndDrawFault()) {
        throw new LogUnavailableException("unreachable", false);
      }
      int to = (int) Math.min(records.size(), from + 5);
      List<LogEntry> entries = new ArrayList<>();
      for (int i = (int) from; i < to; i++) {
        entries.add(new LogEntry(i, 0, records.get(i)));
      }
      return new LogPage(0, to, entries);
    }
  }

  private static ConfigurationRecord concurrentRecord(int number) {
    Change change = Change.put(new DataCentre("shared", "other-" + number), 0);
    return ConfigurationRecord.ofChanges("other-" + number, "other", 0, List.of(change));
  }

  private static ConfigurationRecord ownRecord() {
    Change change = Change.put(new DataCentre("shared", "own"), 0);
    return ConfigurationRecord.ofChanges("own", "operator", 0, List.of(change));
  }

  /** Returns how often the published record takes effect when the final log is replayed. */
  private static long timesApplied(FaultyLog log) {
    ConfigurationState state = new ConfigurationState();
    long applied = 0;
    for (int i = 0; i < log.records.size(); i++) {
      boolean isOwn = log.records.get(i).recordId().equals("own");
      boolean isApplied = state.apply(i, log.records.get(i)) instanceof ApplyResult.Applied;
      applied += isOwn && isApplied ? 1 : 0;
    }
    return applied;
  }

  @Property(tries = 1000, seed = "61")
  void reportsTheActualOutcomeDespiteLogFaults(@ForAll long seed, @ForAll boolean isSevere) {
    FaultyLog log = new FaultyLog(seed, isSevere ? 97 : 40);
    Publisher publisher =
        new Publisher(
            log,
            () -> log.nowNanos,
            millis -> log.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis));
    PublishDecision decision = publisher.publish(ownRecord(), DEADLINE);
    log.records.addAll(log.delayed);

    long applied = timesApplied(log);
    assertThat(applied).isLessThanOrEqualTo(1);
    if (decision instanceof PublishDecision.Accepted) {
      assertThat(applied).isEqualTo(1);
    } else if (decision instanceof PublishDecision.Unknown) {
      assertThat(log.nowNanos).isGreaterThanOrEqualTo(DEADLINE);
    } else {
      assertThat(applied).isZero();
    }
  }
}
