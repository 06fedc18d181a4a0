package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Exchanges on connections that end early. */
class ClientExchangeTest {

  /** Guards against a request that never ends, as its connection ended before it was sent. */
  @Test
  void connectionThatEndsBeforeTheRequestIsSentFailsIt() {
    List<Throwable> failures = new ArrayList<>();
    StreamListener listener =
        new StreamListener() {
          @Override
          public void onHeaders(int status, Map<String, String> headers) {}

          @Override
          public void onChunk(byte[] bytes) {}

          @Override
          public void onEnd() {}

          @Override
          public void onFailure(Throwable cause) {
            failures.add(cause);
          }
        };
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpClient client = new HttpClient(group, HttpClientOptions.defaults());
    EmbeddedChannel ended = new EmbeddedChannel();
    ended.close();
    HttpRequest request = HttpRequest.get(new InetSocketAddress("127.0.0.1", 1), "/").build();
    new ClientExchange(client, request, listener).start(ended);
    ended.runPendingTasks();
    group.shutdownGracefully();
    assertThat(failures).singleElement().isInstanceOf(ConnectFailedException.class);
  }
}
