package io.samphiredyke.net.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON with one shared mapper, which ignores unknown fields and omits nulls. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .build();

  private Json() {}

  /** Returns the shared mapper. Callers must not change its configuration. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Writes a value as UTF-8 JSON.
   *
   * @throws UncheckedIOException if the value cannot be serialized
   */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a value from UTF-8 JSON.
   *
   * @throws IOException if the bytes are not valid JSON for the type; the message contains line and
   *     column
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = MAPPER.readValue(bytes, type);
    if (value == null) {
      throw new IOException("the JSON value is null");
    }
    return value;
  }
}
