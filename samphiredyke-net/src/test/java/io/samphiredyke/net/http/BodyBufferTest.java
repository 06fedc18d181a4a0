package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What {@link BodyBuffer} keeps and returns. */
class BodyBufferTest {

  @ParameterizedTest
  @CsvSource({"0, 1", "1, 1", "800, 800", "100000, 1", "100000, 777", "1000000, 65536"})
  void bodyIsKeptInLittleMoreThanItsSize(int bytes, int pieceBytes) {
    byte[] body = new byte[bytes];
    new Random(7).nextBytes(body);
    BodyBuffer buffer = new BodyBuffer();
    for (int start = 0; start < bytes; start += pieceBytes) {
      buffer.append(Unpooled.wrappedBuffer(body, start, Math.min(pieceBytes, bytes - start)));
    }
    assertThat(buffer.size()).isEqualTo(bytes);
    assertThat(buffer.capacity()).isLessThanOrEqualTo(bytes + 16 * 1024);
    assertThat(ByteBufUtil.getBytes(buffer.toByteBuf())).isEqualTo(body);
  }
}
