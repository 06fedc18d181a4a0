package io.samphiredyke.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.client.AttemptCounts;
import io.samphiredyke.client.NotExecutedException;
import io.samphiredyke.client.OutcomeUnknownException;
import io.samphiredyke.client.Response;
import io.samphiredyke.standins.engine.AnswerText;
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
    Observation seen = new Observation(REQUEST, () -> 0L);
    seen.onRequestId(id);
    String text = AnswerText.of(id, Prompt.digestOf("user\ncovered?\n")).whole(3);
    seen.ended(new Response(id, 200, text, new AttemptCounts(1, 1)), null);
    return seen;
  }

  private static EndpointCounts counted(String name, String dataCentre, Map<String, Long> counts) {
    return new EndpointCounts(name, dataCentre, counts, 0, 0);
  }

  private static Verification verify(Observation seen, EndpointCounts... counts) {
    return Verification.of(List.of(seen), new EndpointCounts.All(List.of(counts), List.of()));
  }

  private static void assertOnly(Verification verification, Violation.Kind kind) {
    assertThat(verification.violations()).extracting(Violation::kind).containsExactly(kind);
  }

  @Test
  void findsNothingWrongWithOneRightExecution() {
    Observation seen = success("t.1");
    assertThat(seen.outcome()).isEqualTo(Outcome.GOOD);
    assertThat(verify(seen, counted("e1", "dc1", Map.of("t.1", 1L))).violations()).isEmpty();
  }

  @Test
  void findsLostRequest() {
    assertOnly(verify(success("t.1"), counted("e1", "dc1", Map.of())), Violation.Kind.LOST);
  }

  @Test
  void doesNotCallRequestLostWhileCountsAreMissing() {
    EndpointCounts.All counts = new EndpointCounts.All(List.of(), List.of("e1"));
    Verification verification = Verification.of(List.of(success("t.1")), counts);
    assertThat(verification.violations()).isEmpty();
    assertThat(verification.unverified()).isEqualTo(1);
  }

  @Test
  void findsRequestExecutedAtTwoEndpoints() {
    EndpointCounts first = counted("e1", "dc1", Map.of("t.1", 1L));
    EndpointCounts second = counted("e2", "dc1", Map.of("t.1", 1L));
    assertOnly(verify(success("t.1"), first, second), Violation.Kind.DOUBLED);
  }

  @Test
  void findsRequestExecutedUnderTwoIds() {
    Observation seen = new Observation(REQUEST, () -> 0L);
    seen.onRequestId("t.1");
    seen.onRequestId("t.2");
    seen.ended(null, new OutcomeUnknownException("t.2", 503, "lost"));
    Map<String, Long> counts = Map.of("t.1", 1L, "t.2", 1L);
    assertOnly(verify(seen, counted("e1", "dc1", counts)), Violation.Kind.DOUBLED);
  }

  @Test
  void findsRequestExecutedInForbiddenPlace() {
    EndpointCounts elsewhere = counted("e1", "dc2", Map.of("t.1", 1L));
    assertOnly(verify(success("t.1"), elsewhere), Violation.Kind.MISPLACED);
  }

  @Test
  void findsRequestThatRanThoughToldNotRun() {
    Observation seen = new Observation(REQUEST, () -> 0L);
    seen.onRequestId("t.1");
    seen.ended(null, new NotExecutedException("t.1", 503, "shed"));
    assertThat(seen.outcome()).isEqualTo(Outcome.REFUSED);
    assertOnly(verify(seen, counted("e1", "dc1", Map.of("t.1", 1L))), Violation.Kind.FALSE_NOT_RUN);
  }

  @Test
  void findsAnswerOfAnotherRequest() {
    Observation seen = new Observation(REQUEST, () -> 0L);
    seen.onRequestId("t.1");
    String text = AnswerText.of("t.2", Prompt.digestOf("user\ncovered?\n")).whole(3);
    seen.ended(new Response("t.1", 200, text, new AttemptCounts(1, 1)), null);
    EndpointCounts counts = counted("e1", "dc1", Map.of("t.1", 1L));
    assertOnly(verify(seen, counts), Violation.Kind.WRONG_ANSWER);
  }

  @Test
  void readsCountsOfEnginesAndPlainServices() throws Exception {
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
