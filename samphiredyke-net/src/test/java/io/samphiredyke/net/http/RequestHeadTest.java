package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What {@link RequestHead} keeps, and that nothing is lost. */
class RequestHeadTest {

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 64, 65, 4_000})
  void headersAreReturnedInOrder(int lines) {
    DefaultHttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, "/a?b=c");
    int textBytes = 0;
    for (int i = 0; i < lines; i++) {
      String value = i % 3 == 0 ? "" : "ä" + i;
      request.headers().add("N" + i % 7, value);
      textBytes += 2 + value.length();
    }
    RequestHead head = RequestHead.of(request);
    assertThat(head.method()).isEqualTo(HttpMethod.PUT);
    assertThat(head.uri()).isEqualTo("/a?b=c");
    assertThat(head.headers().getAll("n0")).isEqualTo(request.headers().getAll("N0"));
    assertThat(head.headers().entries()).hasToString(request.headers().entries().toString());
    if (lines > 64) {
      assertThat(head.keptBytes()).isLessThanOrEqualTo(2 * textBytes);
    }
  }
}
