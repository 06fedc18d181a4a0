package io.samphiredyke.net.http;

import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers, with names in lower case
 * @param body the body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Returns the body read as JSON.
   *
   * @throws IOException if the body is not JSON of that type
   */
  public <T> T json(Class<T> type) throws IOException {
    return Json.read(body, type);
  }
}
