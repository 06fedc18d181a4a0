package io.samphiredyke.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.serving.StreamOrigin;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.OutputStream;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class StreamOriginArchiveTest {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final StoreStandIn store = new StoreStandIn().start(group);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a call each few milliseconds to a store that refuses them. */
  @Test
  void refusedWritesAreRepeatedOnceASecondAndNotLost() throws InterruptedException {
    ControlEventLoop loop = new ControlEventLoop(group.next(), Clock.systemUTC());
    StoreClient client =
        new StoreClient(
            new HttpClient(group, HttpClientOptions.defaults()),
            SocketAddresses.parse(store.address()));
    DecisionLog log = new DecisionLog(OutputStream.nullOutputStream(), System::currentTimeMillis);
    StreamOriginArchive archive = new StreamOriginArchive(loop, client, "host", () -> 1, log);
    store.setMode(StoreStandIn.Mode.BUSY);
    loop.execute(() -> archive.add("begun", new StreamOrigin("s", "v")));
    Thread.sleep(1_500);
    assertThat(store.calls()).isBetween(1, 2);
    store.setMode(StoreStandIn.Mode.UP);
    while (!store.contains(StoreClient.STREAM_TOPIC, "begun")) {
      Thread.sleep(10);
    }
  }
}
