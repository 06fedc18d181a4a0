package io.samphiredyke.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.samphiredyke.client.Response;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.standins.engine.CompletionText;
import io.samphiredyke.standins.engine.Prompt;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Checks that a response is complete and belongs to its request. */
final class ResponseCheck {

  private ResponseCheck() {}

  /** Returns a description of the fault in a response, or null if it is correct. */
  static @Nullable String findFault(PlannedRequest request, Response response) {
    return request.service().kind() == LoadPlan.Kind.MODEL
        ? findChatFault(request, response)
        : findCallFault(request, response);
  }

  private static @Nullable String findChatFault(PlannedRequest request, Response response) {
    String digest = Prompt.digestOf("user\n" + request.text() + "\n");
    CompletionText.MatchResult matchResult =
        CompletionText.of(response.requestId(), digest).match(response.text());
    return matchResult == CompletionText.MatchResult.WHOLE
        ? null
        : "the response is " + matchResult;
  }

  private static @Nullable String findCallFault(PlannedRequest request, Response response) {
    JsonNode result = read(response.text());
    if (!response.requestId().equals(result.path("id").asText())) {
      return "the response belongs to another request: " + response.text();
    }
    if (!Prompt.digestOf(request.text()).equals(result.path("digest").asText())) {
      return "the response belongs to another request body: " + response.text();
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
