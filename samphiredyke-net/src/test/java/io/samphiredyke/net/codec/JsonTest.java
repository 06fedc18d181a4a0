package io.samphiredyke.net.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonTest {

  private record Host(String name, int port) {}

  private record Hosts(List<Host> hosts) {}

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against a response that was cut off, at any byte, and is read as a shorter one. */
  @Test
  void cutObjectIsRejected() throws IOException {
    String text =
        "{\"hosts\":[{\"name\":\"a\",\"port\":12},{\"name\":\"b\",\"port\":345}],\"next\":67}";
    for (int length = 0; length < text.length(); length++) {
      byte[] cut = bytes(text.substring(0, length));
      assertThatThrownBy(() -> Json.read(cut, Hosts.class)).isInstanceOf(IOException.class);
      assertThatThrownBy(() -> Json.read(cut, JsonNode.class)).isInstanceOf(IOException.class);
    }
    assertThat(Json.read(bytes(text), Hosts.class).hosts()).hasSize(2);
    assertThat(Json.read(bytes(text), JsonNode.class).path("next").asInt()).isEqualTo(67);
  }

  /** Guards against a body that was cut off and is filled with a copy of its response. */
  @Test
  void objectThatGoesOnWithAResponseIsRejected() {
    String text = "{\"hosts\":[{\"name\":\"a\",\"port\":12}]}";
    String response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + text;
    for (int length = 0; length < text.length(); length++) {
      for (int copied = 1; copied <= response.length(); copied++) {
        byte[] body = bytes(text.substring(0, length) + response.substring(0, copied));
        assertThatThrownBy(() -> Json.read(body, Hosts.class))
            .as(new String(body, StandardCharsets.UTF_8))
            .isInstanceOf(IOException.class);
      }
    }
  }
}
