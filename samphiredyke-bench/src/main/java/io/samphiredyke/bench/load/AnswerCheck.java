package io.samphiredyke.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.samphiredyke.client.Response;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.standins.engine.AnswerText;
import io.samphiredyke.standins.engine.Prompt;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Checks that an answer is the whole answer to its own request and no other. */
final class AnswerCheck {

  private AnswerCheck() {}

  /** Returns what is wrong with an answer, or null. */
  static @Nullable String fault(PlannedRequest request, Response answer) {
    return request.service().kind() == LoadPlan.Kind.MODEL
        ? chatFault(request, answer)
        : callFault(request, answer);
  }

  private static @Nullable String chatFault(PlannedRequest request, Response answer) {
    String digest = Prompt.digestOf("user\n" + request.text() + "\n");
    AnswerText.Verdict verdict = AnswerText.of(answer.requestId(), digest).check(answer.text());
    return verdict == AnswerText.Verdict.WHOLE ? null : "the answer is " + verdict;
  }

  private static @Nullable String callFault(PlannedRequest request, Response answer) {
    JsonNode result = read(answer.text());
    if (!answer.requestId().equals(result.path("id").asText())) {
      return "the answer belongs to another request: " + answer.text();
    }
    if (!Prompt.digestOf(request.text()).equals(result.path("digest").asText())) {
      return "the answer belongs to another body: " + answer.text();
    }
    long effect = result.path("effect").asLong();
    return effect == 1 ? null : "the call took effect " + effect + " times";
  }

  private static JsonNode read(String text) {
    try {
      return Json.mapper().readTree(text);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }
}
