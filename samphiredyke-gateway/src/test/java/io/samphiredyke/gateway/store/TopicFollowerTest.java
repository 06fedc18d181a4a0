package io.samphiredyke.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import io.samphiredyke.platform.standin.Link;
import io.samphiredyke.platform.standin.RawServer;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.OutputStream;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class TopicFollowerTest {

  private static final Duration LONG_POLL = Duration.ofSeconds(30);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoop eventLoop = group.next();
  private final ControlEventLoop loop = new ControlEventLoop(eventLoop, Clock.systemUTC());
  private final StoreStandIn store = new StoreStandIn().start(group);
  private final Link link =
      new Link(group, SocketAddresses.parse("127.0.0.1:0"), SocketAddresses.parse(store.address()));
  private final AtomicLong position = new AtomicLong(-1);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private TopicFollower follower() {
    return follower("127.0.0.1:" + link.port());
  }

  private TopicFollower follower(String address) {
    StoreClient client =
        new StoreClient(
            new HttpClient(group, HttpClientOptions.defaults()), SocketAddresses.parse(address));
    return new TopicFollower(
        loop,
        client,
        StoreClient.OPERATOR_TOPIC,
        () -> LONG_POLL,
        Duration.ZERO,
        new PositionReceiver(),
        new DecisionLog(OutputStream.nullOutputStream(), System::currentTimeMillis),
        new SplittableRandom(1));
  }

  private boolean reaches(long offset, long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (position.get() != offset && System.nanoTime() < end) {
      Thread.sleep(10);
    }
    return position.get() == offset;
  }

  /** Reading again abandons a read that waits, but not one that the store is slow to answer. */
  @Test
  void readIsNotAbandonedWhileTheStoreIsSlow() throws InterruptedException {
    TopicFollower follower = follower();
    loop.execute(follower::start);
    assertThat(reaches(0, 5_000)).isTrue();
    link.mode(Link.Mode.DELAY);
    link.silence();
    store.put(StoreClient.OPERATOR_TOPIC, StoreClient.CONFIGURATION_KEY, "{}");
    loop.scheduleWithFixedDelay(follower::readAgain, Duration.ofMillis(150));
    assertThat(reaches(1, 5_000)).isTrue();
  }

  /** Guards against a page that was cut off between two records and counts as all of them. */
  @Test
  void pageThatEndsBeforeTheStatedEndIsNotAllThereIs() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n";
    AtomicInteger calls = new AtomicInteger();
    AtomicBoolean cuts = new AtomicBoolean(true);
    RawServer cutStore =
        RawServer.start(
            (id, socket) -> {
              String page = "\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0";
              String record = cuts.get() ? "" : "\0\0\0\4\1abc";
              boolean isFirst = calls.incrementAndGet() == 1;
              RawServer.write(
                  socket, head + (isFirst ? "{\"Items\":[],\"End\":0}" : page + record));
              socket.close();
            });
    TopicFollower follower = follower(cutStore.address());
    loop.execute(follower::start);
    assertThat(reaches(0, 5_000)).isTrue();
    long since = loop.nanoTime();
    int callsBefore = calls.get();
    while (calls.get() < callsBefore + 5) {
      Thread.sleep(1);
    }
    assertThat(loop.supply(() -> follower.hasReadSince(since)).join()).isFalse();
    cuts.set(false);
    assertThat(reachesAtLeast(1)).isTrue();
    assertThat(loop.supply(() -> follower.hasReadSince(since)).join()).isTrue();
  }

  private boolean reachesAtLeast(long offset) throws InterruptedException {
    for (int i = 0; i < 5_000 && position.get() < offset; i++) {
      Thread.sleep(1);
    }
    return position.get() >= offset;
  }

  private final class PositionReceiver implements TopicFollower.Receiver {

    @Override
    public void onSnapshot(List<StoreRecord> records, long nextOffset) {
      position.set(nextOffset);
    }

    @Override
    public void onRecords(List<StoreRecord> records, long nextOffset) {
      position.set(nextOffset);
    }

    @Override
    public void onRestored() {}

    @Override
    public void onUnavailable(String reason) {}
  }
}
