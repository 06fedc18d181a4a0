package io.samphiredyke.client.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.WholeResponseCheck;
import io.samphiredyke.net.sse.SseEvent;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ResponseReaderTest {

  private static final byte[] MEGABYTE = new byte[1 << 20];

  private final EventLoop loop = new DefaultEventLoop();
  private final AtomicInteger responses = new AtomicInteger();
  private final AtomicInteger interruptions = new AtomicInteger();

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  private final class Handler implements ResponseReader.Handler {

    @Override
    public void onEvent(SseEvent event, ResponseReader.Head head) {}

    @Override
    public void onResponse(ResponseReader.Head head, byte[] body) {
      responses.incrementAndGet();
    }

    @Override
    public void onInterrupted() {
      interruptions.incrementAndGet();
    }

    @Override
    public void onConnectFailed() {}
  }

  /** Guards against a body without end that fills the memory of the caller. */
  @Test
  void bodyWithoutEndIsGivenUp() throws Exception {
    ResponseReader reader =
        new ResponseReader(loop, "ticket.1", new WholeResponseCheck(), new Handler());
    reader.onHeaders(200, Map.of("content-type", "application/json"));
    for (int i = 0; i < 70; i++) {
      reader.onChunk(MEGABYTE);
    }
    reader.onEnd();
    loop.submit(() -> {}).sync();
    assertThat(interruptions).hasValue(1);
    assertThat(responses).hasValue(0);
  }
}
