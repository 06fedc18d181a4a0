package io.samphiredyke.daemon.response;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Merges the events of a streamed chat completion into a single completion object. */
final class CompletionAssembler {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private CompletionAssembler() {}

  /**
   * Returns the completion as JSON.
   *
   * @param events the server-sent events of the stream
   * @throws UncheckedIOException if the data of an event is not valid JSON
   */
  static byte[] assemble(List<byte[]> events) {
    List<JsonNode> chunks = chunks(events);
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

  private static List<JsonNode> chunks(List<byte[]> events) {
    List<JsonNode> chunks = new ArrayList<>();
    SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
    for (byte[] bytes : events) {
      decoder.feed(bytes, event -> addChunk(chunks, event));
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
