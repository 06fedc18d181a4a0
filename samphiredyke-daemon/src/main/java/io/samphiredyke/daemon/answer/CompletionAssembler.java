package io.samphiredyke.daemon.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Joins the chunks of a streamed chat completion to one completion. */
final class CompletionAssembler {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private CompletionAssembler() {}

  static byte[] assemble(AnswerBuffer buffer) {
    List<JsonNode> chunks = chunks(buffer);
    StringBuilder content = new StringBuilder();
    String finishReason = "stop";
    for (JsonNode chunk : chunks) {
      JsonNode choice = chunk.path("choices").path(0);
      content.append(choice.path("delta").path("content").asText(""));
      finishReason = choice.path("finish_reason").asText(finishReason);
    }
    ObjectNode completion = Json.mapper().createObjectNode();
    JsonNode first = chunks.isEmpty() ? completion : chunks.get(0);
    completion.put("id", first.path("id").asText());
    completion.put("object", "chat.completion");
    completion.put("created", first.path("created").asLong());
    completion.put("model", first.path("model").asText());
    ObjectNode choice = completion.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", content.toString());
    choice.put("finish_reason", finishReason);
    for (JsonNode chunk : chunks) {
      if (chunk.path("usage").isObject()) {
        completion.set("usage", chunk.path("usage"));
      }
    }
    return Json.bytes(completion);
  }

  private static List<JsonNode> chunks(AnswerBuffer buffer) {
    List<JsonNode> chunks = new ArrayList<>();
    SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
    for (long number = 1; number <= buffer.lastNumber(); number++) {
      byte[] part = buffer.part(number);
      if (part != null) {
        decoder.feed(part, event -> addChunk(chunks, event));
      }
    }
    return chunks;
  }

  private static void addChunk(List<JsonNode> chunks, SseEvent event) {
    if (event.isDone()) {
      return;
    }
    try {
      chunks.add(Json.mapper().readTree(event.data()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
