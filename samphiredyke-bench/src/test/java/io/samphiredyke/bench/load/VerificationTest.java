package io.samphiredyke.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.client.AttemptCounts;
import io.samphiredyke.client.NotExecutedException;
import io.samphiredyke.client.OutcomeUnknownException;
import io.samphiredyke.client.Response;
import io.samphiredyke.standins.engine.CompletionText;
import io.samphiredyke.standins.engine.Prompt;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class VerificationTest {

  private static final LoadPlan.Service CHAT =
      new LoadPlan.Service(
          "chat", LoadPlan.Kind.MODEL, "t", 1, Set.of("dc1"), null, 1000, 0, null, null, null);
  private static final PlannedRequest REQUEST =
      new PlannedRequest(0, 0, CHAT, new LoadPlan.Customer("a", "k", 1), "covered?", 3);

  private static Observation success(String id) {
    Observation observation = new Observation(REQUEST, () -> 0L);
    observation.onRequestId(id);
    String text = CompletionText.of(id, Prompt.digestOf("user\ncovered?\n")).fullText(3);
    observation.recordEnd(new Response(id, 200, text, new AttemptCounts(1, 1)), null);
    return observation;
  }

  private static EndpointCounts counted(String name, String dataCentre, Map<String, Long> counts) {
    return new EndpointCounts(name, dataCentre, counts, 0, 0);
  }

  private static Verification verify(Observation observation, EndpointCounts... counts) {
    return Verification.of(
        List.of(observation), new EndpointCounts.Collected(List.of(counts), List.of()));
  }

  private static void assertOnly(Verification verification, Violation.Kind kind) {
    assertThat(verification.violations()).extracting(Violation::kind).containsExactly(kind);
  }

  @Test
  void acceptsSingleCorrectExecution() {
    Observation observation = success("t.1");
    assertThat(observation.outcome()).isEqualTo(Outcome.GOOD);
    assertThat(verify(observation, counted("e1", "dc1", Map.of("t.1", 1L))).violations()).isEmpty();
  }

  @Test
  void reportsLostRequest() {
    assertOnly(verify(success("t.1"), counted("e1", "dc1", Map.of())), Violation.Kind.LOST);
  }

  @Test
  void countsRequestAsUnverifiedWhileCountsAreMissing() {
    EndpointCounts.Collected counts = new EndpointCounts.Collected(List.of(), List.of("e1"));
    Verification verification = Verification.of(List.of(success("t.1")), counts);
    assertThat(verification.violations()).isEmpty();
    assertThat(verification.unverified()).isEqualTo(1);
  }

  @Test
  void reportsRequestExecutedAtTwoEndpoints() {
    EndpointCounts first = counted("e1", "dc1", Map.of("t.1", 1L));
    EndpointCounts second = counted("e2", "dc1", Map.of("t.1", 1L));
    assertOnly(verify(success("t.1"), first, second), Violation.Kind.DOUBLED);
  }

  @Test
  void reportsRequestExecutedUnderTwoIds() {
    Observation observation = new Observation(REQUEST, () -> 0L);
    observation.onRequestId("t.1");
    observation.onRequestId("t.2");
    observation.recordEnd(null, new OutcomeUnknownException("t.2", 503, "lost"));
    Map<String, Long> counts = Map.of("t.1", 1L, "t.2", 1L);
    assertOnly(verify(observation, counted("e1", "dc1", counts)), Violation.Kind.DOUBLED);
  }

  @Test
  void reportsRequestExecutedInForbiddenDataCentre() {
    EndpointCounts elsewhere = counted("e1", "dc2", Map.of("t.1", 1L));
    assertOnly(verify(success("t.1"), elsewhere), Violation.Kind.MISPLACED);
  }

  @Test
  void reportsExecutedRequestReportedAsNotRun() {
    Observation observation = new Observation(REQUEST, () -> 0L);
    observation.onRequestId("t.1");
    observation.recordEnd(null, new NotExecutedException("t.1", 503, "shed"));
    assertThat(observation.outcome()).isEqualTo(Outcome.REFUSED);
    assertOnly(
        verify(observation, counted("e1", "dc1", Map.of("t.1", 1L))), Violation.Kind.FALSE_NOT_RUN);
  }

  @Test
  void reportsResponseOfAnotherRequest() {
    Observation observation = new Observation(REQUEST, () -> 0L);
    observation.onRequestId("t.1");
    String text = CompletionText.of("t.2", Prompt.digestOf("user\ncovered?\n")).fullText(3);
    observation.recordEnd(new Response("t.1", 200, text, new AttemptCounts(1, 1)), null);
    EndpointCounts counts = counted("e1", "dc1", Map.of("t.1", 1L));
    assertOnly(verify(observation, counts), Violation.Kind.WRONG_ANSWER);
  }

  @Test
  void parsesCountsOfEnginesAndPlainServices() throws Exception {
    String engine =
        "{\"dataCentre\":\"dc1\",\"total\":{\"prefilledTokens\":9,\"wastedPrefillTokens\":4},"
            + "\"requests\":{\"t.1\":{\"executions\":2}}}";
    assertThat(EndpointCounts.parse("e", engine.getBytes(StandardCharsets.UTF_8)))
        .isEqualTo(new EndpointCounts("e", "dc1", Map.of("t.1", 2L), 9, 4));
    String plain = "{\"dataCentre\":\"dc1\",\"requests\":{\"t.1\":1}}";
    assertThat(EndpointCounts.parse("p", plain.getBytes(StandardCharsets.UTF_8)))
        .isEqualTo(new EndpointCounts("p", "dc1", Map.of("t.1", 1L), 0, 0));
  }
}
