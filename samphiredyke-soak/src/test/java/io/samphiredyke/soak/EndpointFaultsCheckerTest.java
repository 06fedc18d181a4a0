package io.samphiredyke.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.platform.standin.CallerStandIn;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Requests that may run at most once and are sent again with the same id after a refusal. */
class EndpointFaultsCheckerTest {

  private static final String ID = "a1";

  private final Observations observations = new Observations();

  private static CallerOutcome outcome(int status, long sentMillis, long endMillis) {
    boolean isOwn = status == 503;
    String signature = CallerStandIn.signature("p-1", ID, status);
    return new CallerOutcome(
        ID,
        RequestKind.UNSAFE,
        ID,
        0,
        "",
        "host-0",
        sentMillis,
        endMillis,
        CallerOutcome.End.WHOLE,
        status,
        isOwn ? Map.of() : Map.of("x-samphiredyke-server-signature", signature),
        CallerStandIn.plainBody(ID).getBytes(StandardCharsets.UTF_8));
  }

  private void ran(long millis) {
    observations.recordEndpointAction("p-1", "ran " + ID + " customer v1 1 " + millis);
    observations.recordEndpointAction("p-1", "answered " + ID + " 200 sized " + millis);
  }

  private List<String> kinds(CallerOutcome... outcomes) {
    return EndpointFaultsChecker.check(observations, Arrays.asList(outcomes), List.of()).stream()
        .map(EndpointFaultsChecker.Finding::kind)
        .toList();
  }

  @Test
  void requestMayRunAfterItsRefusals() {
    ran(45);
    assertThat(kinds(outcome(503, 10, 20), outcome(503, 20, 40), outcome(200, 40, 50))).isEmpty();
  }

  @Test
  void requestMustNotRunBeforeTheEndOfRefusal() {
    ran(15);
    assertThat(kinds(outcome(503, 10, 20), outcome(200, 20, 30)))
        .containsExactly("REFUSED although run");
  }

  @Test
  void requestMustNotRunAfterItsLastRefusal() {
    ran(25);
    assertThat(kinds(outcome(503, 10, 20))).containsExactly("REFUSED although run");
  }

  @Test
  void requestMustNotRunTwiceInAll() {
    ran(25);
    ran(45);
    observations.recordEndpointAction("p-1", "copy " + ID + " refusal whole before-own x 44");
    assertThat(kinds(outcome(503, 10, 20), outcome(200, 20, 50)))
        .containsExactly("TWICE, copy met its own id");
  }

  @Test
  void brittleEndpointsMayFallTwice() {
    observations.recordEndpointAction("p-1", "brittle plain-1 3 1000");
    observations.recordEndpointAction("p-2", "brittle plain-1 3 1000");
    String fall = "fell plain-1 4 refusals, tolerated 3, room 1 ";
    observations.recordEndpointAction("p-1", fall + 4_000);
    observations.recordEndpointAction("p-2", fall + 4_100);
    assertThat(kinds()).isEmpty();
    observations.recordEndpointAction("p-1", fall + 9_000);
    assertThat(kinds()).containsExactly("LIMIT falls of brittle endpoints");
  }
}
