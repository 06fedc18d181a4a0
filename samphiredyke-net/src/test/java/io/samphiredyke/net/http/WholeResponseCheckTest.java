package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that may have been cut off, or filled with a copy. */
class WholeResponseCheckTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
  private static final String JSON = "{\"id\":\"a\",\"text\":\"HTTP/1.1 200 {\\\"b\\\"}\"}";

  private static boolean isWhole(String body, boolean endsWithConnection) {
    return isWhole("application/json", body, endsWithConnection);
  }

  private static boolean isWhole(String type, String body, boolean endsWithConnection) {
    return new WholeResponseCheck().isWhole(response(200, type, body, endsWithConnection));
  }

  private static HttpResponse response(
      int status, String type, String body, boolean endsWithConnection) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new HttpResponse(status, Map.of("content-type", type), bytes, endsWithConnection);
  }

  /** Guards against a JSON body that is cut off at any byte and looks whole. */
  @Test
  void cutJsonIsNotWhole() {
    for (int length = 0; length < JSON.length(); length++) {
      assertThat(isWhole(JSON.substring(0, length), true)).as("%d bytes", length).isFalse();
    }
    assertThat(isWhole(JSON, true)).isTrue();
    assertThat(isWhole(JSON + "\n", true)).isTrue();
  }

  /** Guards against lines of JSON that are cut off between two and look whole. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "application/x-ndjson",
        "application/json-seq",
        "application/jsonl",
        "text/plain",
        ""
      })
  void cutLinesOfJsonAreNotWhole(String type) {
    assertThat(isWhole(type, "{\"n\":1}", true)).isFalse();
    assertThat(isWhole(type, "{\"n\":1}\n", true)).isFalse();
    assertThat(isWhole(type, "{\"n\":1}\n{\"n\":2}\n", false)).isTrue();
    assertThat(isWhole("{\"n\":1}\n{\"n\":2}\n", true)).isFalse();
    byte[] untyped = "{\"n\":1}\n".getBytes(StandardCharsets.UTF_8);
    assertThat(new WholeResponseCheck().isWhole(new HttpResponse(200, Map.of(), untyped, true)))
        .isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"application/json", "Application/JSON; charset=utf-8", "application/json ;a=b"})
  void wholeJsonOfItsTypeIsWhole(String type) {
    assertThat(isWhole(type, JSON, true)).isTrue();
  }

  /** Guards against a body that goes on with a copy of its response, cut off at any byte. */
  @Test
  void bodyWithACopyIsNotWhole() {
    List<String> taken = new ArrayList<>();
    String copy = HEAD + JSON;
    for (int length = 0; length <= JSON.length(); length++) {
      for (int copied = 1; copied <= copy.length(); copied++) {
        String body = JSON.substring(0, length) + copy.substring(0, copied);
        if (isWhole(body, true) || isWhole(body, false)) {
          taken.add(body);
        }
      }
    }
    assertThat(taken).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "filed", "42", "null", "\"filed\"", "HTTP is spoken", "Have a nice"})
  void framedBodyIsWhole(String body) {
    assertThat(isWhole(body, false)).isTrue();
    assertThat(isWhole(body, true)).isFalse();
  }

  /** Guards against a sound body that is never accepted. */
  @Test
  void repeatedBodyIsWhole() {
    WholeResponseCheck check = new WholeResponseCheck();
    String body = "filed: HTTP/1.1 200 OK";
    assertThat(check.isWhole(response(200, "text/plain", body, true))).isFalse();
    assertThat(check.isWhole(response(500, "text/plain", body, true))).isFalse();
    assertThat(check.isWhole(response(200, "text/plain", body, true))).isFalse();
    assertThat(check.isWhole(response(200, "text/plain", body, false))).isTrue();
  }
}
