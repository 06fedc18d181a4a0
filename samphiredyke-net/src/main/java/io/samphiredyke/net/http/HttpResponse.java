package io.samphiredyke.net.http;

import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete response.
 *
 * @param status the HTTP status
 * @param headers the headers, with names in lower case
 * @param body the body
 * @param endsWithConnection whether only the end of the connection ended the body, as neither a
 *     length nor chunks were stated
 */
public record HttpResponse(
    int status, Map<String, String> headers, byte[] body, boolean endsWithConnection) {

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Parses the body as JSON.
   *
   * @throws IOException if the body is not valid JSON for the type
   */
  public <T> T json(Class<T> type) throws IOException {
    return Json.read(body, type);
  }
}
