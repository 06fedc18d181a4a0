package io.samphiredyke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestIdTest {

  @ParameterizedTest
  @ValueSource(strings = {"abc.0", "abc.17", "abc.999999999999999999"})
  void parsesEncodedIds(String text) {
    assertThat(RequestId.parse(text).orElseThrow().toString()).isEqualTo(text);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "abc", ".1", "abc.", "abc.01", "abc.-1", "abc.1234567890123456789"})
  void refusesMalformedIds(String text) {
    assertThat(RequestId.parse(text)).isEmpty();
  }
}
