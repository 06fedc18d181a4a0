package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.BodyKind;
import io.samphiredyke.platform.standin.CallerStandIn;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Responses without length of which the endpoints state the body and whether they are sound. */
class FramingCostsTest {

  private static final String ID =
      IntStream.range(0, 9_999)
          .mapToObj(Integer::toHexString)
          .filter(id -> BodyKind.of(id) == BodyKind.EMPTY)
          .findFirst()
          .orElseThrow();

  private final Observations observations = new Observations();

  private static CallerOutcome outcome(CallerOutcome.End end, String body) {
    return new CallerOutcome(
        ID,
        RequestKind.UNSAFE,
        ID,
        0,
        "",
        "host-0",
        10,
        30,
        end,
        200,
        Map.of("x-samphiredyke-server-signature", CallerStandIn.signature("p-1", ID, 200)),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private void act(String... lines) {
    for (String line : lines) {
      observations.recordEndpointAction("p-1", line.replace("ID", ID));
    }
  }

  private List<String> lines(CallerOutcome outcome) {
    return new FramingCosts(observations, List.of(outcome)).lines();
  }

  @Test
  void emptyBodyIsWholeOnlyIfTheEndpointStatesIt() {
    CallerOutcome empty = outcome(CallerOutcome.End.WHOLE, "");
    act("ran ID customer v1 1 15", "answered ID 200 unsized 16");
    assertThat(EndpointFaultsChecker.check(observations, List.of(empty), List.of()))
        .extracting(EndpointFaultsChecker.Finding::kind)
        .containsExactly("MIXED body, UNSAFE unsized, not broken off");
    act("answered ID 200 unsized EMPTY 17");
    assertThat(EndpointFaultsChecker.check(observations, List.of(empty), List.of())).isEmpty();
  }

  @Test
  void soundResponseThatIsBrokenOffCounts() {
    act("ran ID customer v1 1 15", "answered ID 200 unsized 16", "ended ID unsized 17");
    CallerOutcome cut = outcome(CallerOutcome.End.CLOSED_WITHIN, "do");
    assertThat(lines(cut))
        .containsExactly(
            "  sound unsized UNSAFE: 0 served, 0 failed with 502 or 504, 1 broken off, 0 other;"
                + " median - ms");
    assertThat(new FramingCosts(observations, List.of(cut)).soundLost()).isOne();
  }

  @Test
  void responseWithCopyIsNotSound() {
    act("ran ID customer v1 1 15", "answered ID 200 unsized 16", "ended ID unsized 17");
    act("joined ID with its own copy 18");
    CallerOutcome cut = outcome(CallerOutcome.End.CLOSED_WITHIN, "do");
    assertThat(lines(cut).get(0)).startsWith("  unsized with a copy UNSAFE: 0 served");
    assertThat(new FramingCosts(observations, List.of(cut)).soundLost()).isZero();
  }
}
