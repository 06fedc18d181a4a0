package io.samphiredyke.gateway.rollout;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutStage;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class RolloutArchiveTest {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final StoreStandIn store = new StoreStandIn().start(group);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final DecisionLog log = new DecisionLog(out, () -> 0);
  private final RolloutArchive archive =
      new RolloutArchive(
          new ControlEventLoop(group.next(), Clock.systemUTC()),
          new StoreClient(
              new HttpClient(group, StoreClient.httpOptions()),
              SocketAddresses.parse(store.address())),
          new RolloutLog(log));

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static RolloutState begun(String service) {
    return RolloutState.begin(new RolloutOrder(service, "v2", 12_000, 1));
  }

  private CompletableFuture<Optional<RolloutState>> write(RolloutState state) {
    return archive.write(state, state, 0);
  }

  @Test
  void rolloutsOfSeveralServicesAreWrittenAtOnce() {
    List<CompletableFuture<Optional<RolloutState>>> writes =
        Stream.of("a", "b", "c", "d").map(service -> write(begun(service))).toList();
    assertThat(writes).allSatisfy(each -> assertThat(each.join()).isEmpty());
    assertThat(store.keys(StoreClient.STATUS_TOPIC)).hasSize(4);
  }

  @Test
  void stageOfLaterBuildIsReported() {
    write(begun("a")).join();
    String stored = store.value(StoreClient.ROLLOUT_TOPIC, "a");
    store.put(StoreClient.ROLLOUT_TOPIC, "a", stored.replace("CANARY", "SHADOW"));
    assertThat(archive.read("a").join().state()).isNull();
    log.close();
    assertThat(out.toString(UTF_8)).contains("rollout_rejected").contains("SHADOW");
  }

  /** Two hosts may decide for a while. */
  @Test
  void olderStageOfAnotherHostDoesNotReplaceTheStatus() {
    RolloutState canary = begun("a");
    RolloutState succeeded = canary.next(RolloutStage.SUCCEEDED, 11_000, "done");
    for (int i = 0; i < 20; i++) {
      CompletableFuture<Optional<RolloutState>> older = write(canary);
      CompletableFuture<Optional<RolloutState>> later = archive.write(succeeded, canary, 11_000);
      CompletableFuture.allOf(older, later).join();
      assertThat(store.value(StoreClient.STATUS_TOPIC, "rollout/a")).contains("succeeded");
      store.put(StoreClient.ROLLOUT_TOPIC, "a", null);
    }
  }
}
