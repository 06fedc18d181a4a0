package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Prompts with as many parts as a head can hold: a decision may grow with the number of parts, or
 * of endpoints, but not with the product of the two, or the event loop of the host stands still.
 */
class LongPromptTest extends PoolSchedulerFixture {

  private static final int SLOTS = 4;
  private static final int REQUESTS = 200;

  /** Looks at each part, in the whole life of a request, that don't depend on the endpoints. */
  private static final int MAX_LOOKS_AT_PART = 16;

  private long looks;
  private long now;

  /** Counts how often any of its parts is looked at. */
  private final class CountedParts extends AbstractList<PromptPart> {

    private final List<PromptPart> parts;

    CountedParts(List<PromptPart> parts) {
      this.parts = parts;
    }

    @Override
    public PromptPart get(int index) {
      looks++;
      return parts.get(index);
    }

    @Override
    public int size() {
      return parts.size();
    }
  }

  @BeforeEach
  void configureEngines() {
    ServiceSpec service = new ServiceSpec("s", 100, true, SLOTS, 500_000);
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(service), List.of(), CallerLimits.defaults()),
        now);
  }

  private SlotRequest prompt(long id, int sharedParts) {
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < sharedParts; i++) {
      parts.add(new PromptPart(i, 10));
    }
    parts.add(new PromptPart(1_000_000 + id, 100));
    List<PromptPart> cacheParts = new CountedParts(new WorkEstimate(0, 0, parts).cacheParts());
    return new SlotRequest(
        id,
        "host",
        "s",
        0,
        1,
        new WorkEstimate(10 * sharedParts + 100, 60, new CountedParts(parts), cacheParts),
        "",
        0,
        false,
        Set.of(),
        now + 800 * MILLI,
        now + 4_000 * MILLI);
  }

  /** Guards against a choice that looks at all parts for each endpoint and each part. */
  @ParameterizedTest
  @CsvSource({"1, 3", "30, 3", "300, 48", "1200, 3", "1200, 48", "4000, 48", "4000, 1000"})
  void decisionGrowsWithTheSumOfPartsAndEndpoints(int sharedParts, int endpoints) {
    for (int i = 0; i < endpoints; i++) {
      scheduler.put(
          new EndpointRecord("e" + i, "s", "10.0.0.1:80", "a", SLOTS, false, 0, 1, 1), now);
    }
    for (long id = 1; id <= REQUESTS; id++) {
      now += 20 * MILLI;
      scheduler.submit(prompt(id, sharedParts), now);
      long oldest = id - Math.max(1, endpoints * SLOTS / 2);
      if (grants.containsKey(oldest)) {
        scheduler.release("s", grants.get(oldest), oldest, Outcome.SERVED, 100, now);
      }
    }
    assertThat(grants).hasSize(REQUESTS);
    long compared = 32L * WorkEstimate.MAX_CACHE_PARTS;
    assertThat(looks / REQUESTS)
        .isLessThanOrEqualTo(MAX_LOOKS_AT_PART * (sharedParts + 1L) + compared);
  }

  /** Many parts that always occur together are found as few, each of which is announced. */
  @Test
  void crashesUnderLongPromptsAreTracedWithinBounds() {
    CrashEvidence evidence = new CrashEvidence();
    List<Long> found = List.of();
    for (int crash = 0; crash < 5 && found.isEmpty(); crash++) {
      long own = 10_000 + crash;
      List<PromptPart> parts =
          LongStream.concat(LongStream.range(0, 1_200), LongStream.of(own))
              .mapToObj(id -> new PromptPart(id, 10))
              .toList();
      found = evidence.brokenOff("i-" + crash, new CountedParts(parts));
    }
    assertThat(found).isNotEmpty().hasSizeLessThanOrEqualTo(32).contains(1_199L);
  }

  /** A prompt with many parts is preferred where all of it was read. */
  @Test
  void longPromptGoesToTheEndpointThatHoldsIt() {
    for (int i = 0; i < 20; i++) {
      scheduler.put(
          new EndpointRecord("e" + i, "s", "10.0.0.1:80", "a", SLOTS, false, 0, 1, 1), now);
    }
    scheduler.submit(prompt(1, 1_200), now);
    scheduler.release("s", grants.get(1L), 1, Outcome.SERVED, 100, now);
    for (long id = 2; id < 10; id++) {
      scheduler.submit(prompt(id, 1_200), now);
      assertThat(grants.get(id)).isEqualTo(grants.get(1L));
      scheduler.release("s", grants.get(id), id, Outcome.SERVED, 100, now);
    }
  }
}
