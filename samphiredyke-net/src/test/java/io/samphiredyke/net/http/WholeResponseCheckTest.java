package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that may have been cut off, or filled with a copy. */
class WholeResponseCheckTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
  private static final String JSON = "{\"id\":\"a\",\"text\":\"HTTP/1.1 200 {\\\"b\\\"}\"}";

  private static boolean isWhole(String body, boolean endsWithConnection) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new WholeResponseCheck().isWhole(200, bytes, endsWithConnection);
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
    byte[] body = "filed: HTTP/1.1 200 OK".getBytes(StandardCharsets.UTF_8);
    assertThat(check.isWhole(200, body, true)).isFalse();
    assertThat(check.isWhole(500, body, true)).isFalse();
    assertThat(check.isWhole(200, body, true)).isFalse();
    assertThat(check.isWhole(200, body, false)).isTrue();
  }
}
