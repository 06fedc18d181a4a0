package io.samphiredyke.daemon.orders;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.ConfigurationState;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.config.Snapshot;
import io.samphiredyke.core.config.VersionedItem;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import io.samphiredyke.core.orders.OrderSettings;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.standins.engine.EngineSettings;
import io.samphiredyke.standins.engine.EngineStandIn;
import io.samphiredyke.standins.log.LogFaults;
import io.samphiredyke.standins.log.LogOptions;
import io.samphiredyke.standins.log.LogStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests order services with stand-ins of the log and of two engines in one process. The first
 * engine checks fencing tokens.
 */
class OrderServiceTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long WAIT_LIMIT_SECONDS = 60;
  private static final OrderSettings SETTINGS =
      OrderSettings.builder()
          .leaseDuration(2_000 * NANOS_PER_MILLI)
          .minRemainingLease(400 * NANOS_PER_MILLI)
          .renewalInterval(300 * NANOS_PER_MILLI)
          .minAppendInterval(50 * NANOS_PER_MILLI)
          .appendTimeout(300 * NANOS_PER_MILLI)
          .readInterval(200 * NANOS_PER_MILLI)
          .loadPollInterval(50 * NANOS_PER_MILLI)
          .callTimeout(300 * NANOS_PER_MILLI)
          .maxConcurrentLoads(1)
          .build();

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group, HttpClientOptions.defaults());
  private final ControlEventLoop loop = new ControlEventLoop(group.next(), Clock.systemUTC());
  private final List<EngineStandIn> engines = new ArrayList<>();
  private LogStandIn log;
  private volatile Configuration configuration = Configuration.empty();

  @BeforeEach
  void startStandIns() throws Exception {
    StandInRuntime runtime = StandInRuntime.system(group.next());
    log = LogStandIn.start(runtime, ANY_PORT, LogOptions.DEFAULTS).get(10, TimeUnit.SECONDS);
    for (int i = 0; i < 2; i++) {
      EngineSettings settings =
          EngineSettings.builder()
              .name("e" + i)
              .models(List.of("old"))
              .checkFence(i == 0)
              .loadTime(Duration.ofMillis(100))
              .build();
      engines.add(EngineStandIn.start(runtime, ANY_PORT, settings).get(10, TimeUnit.SECONDS));
    }
    setDesiredVersion("1");
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void setDesiredVersion(String version) {
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      String name = "e" + i;
      String address = SocketAddresses.format(engines.get(i).address());
      items.add(Endpoint.builder().name(name).address(address).dataCentre("dc1").build());
      items.add(
          Placement.builder()
              .name(name)
              .endpoint(name)
              .model("m")
              .version(version)
              .role("decode")
              .build());
    }
    List<VersionedItem> versioned =
        items.stream().map(item -> new VersionedItem(item, 1, "test", 0)).toList();
    configuration = new ConfigurationState(new Snapshot(1, versioned, List.of())).configuration();
  }

  private OrderService start(String session) throws Exception {
    return start(session, () -> configuration);
  }

  private OrderService start(String session, Supplier<Configuration> source) throws Exception {
    return loop.supply(
            () -> {
              OrderService service =
                  new OrderService(
                      loop,
                      http,
                      session,
                      List.of(log.address()),
                      source,
                      endpoint -> true,
                      SETTINGS,
                      InvariantChecker.throwing(),
                      event -> {},
                      new Random(1));
              service.start();
              return service;
            })
        .get(10, TimeUnit.SECONDS);
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
    while (!condition.call()) {
      assertThat(System.nanoTime()).as("time waited for the condition").isLessThan(deadline);
      Thread.sleep(20);
    }
  }

  private List<HeldLease> heldLeases(OrderService service) throws Exception {
    return loop.supply(service::heldLeases).get(10, TimeUnit.SECONDS);
  }

  private boolean isServing(int engine, String version) throws Exception {
    JsonNode state =
        http.send(HttpRequest.get(engines.get(engine).address(), "/v1/state").build())
            .get(10, TimeUnit.SECONDS)
            .json(JsonNode.class);
    JsonNode models = state.path("models");
    return state.path("role").asText().equals("decode")
        && models.size() == 1
        && models.path(0).path("version").asText().equals(version)
        && models.path(0).path("status").asText().equals("loaded");
  }

  @Test
  void reachesDesiredStateDespiteLostLogResponses() throws Exception {
    log.setFaults(new LogFaults(null, 2, 0, 0, 0, false)).get(10, TimeUnit.SECONDS);
    OrderService service = start("a");
    await(() -> isServing(0, "1") && isServing(1, "1"));
    setDesiredVersion("2");
    await(() -> isServing(0, "2") && isServing(1, "2"));
    assertThat(heldLeases(service)).hasSize(2);
  }

  @Test
  void anotherHostTakesOverWithHigherFencingTokens() throws Exception {
    OrderService first = start("a");
    await(() -> heldLeases(first).size() == 2);
    long fence = heldLeases(first).get(0).fence();
    OrderService second = start("b");
    loop.supply(
            () -> {
              first.stop();
              return true;
            })
        .get(10, TimeUnit.SECONDS);
    setDesiredVersion("3");
    await(() -> heldLeases(second).size() == 2);
    assertThat(heldLeases(second)).allMatch(lease -> lease.fence() > fence);
    await(() -> isServing(0, "3") && isServing(1, "3"));
  }

  /** Guards against a stream that isn't read any more after an exception in one of its pages. */
  @Test
  void failuresOfPagesDoNotEndTheReading() throws Exception {
    AtomicInteger failures = new AtomicInteger();
    OrderService service =
        start(
            "a",
            () -> {
              boolean isInPage =
                  Arrays.stream(Thread.currentThread().getStackTrace())
                      .anyMatch(frame -> frame.getMethodName().equals("onPage"));
              if (isInPage && failures.get() < 2) {
                failures.incrementAndGet();
                throw new IllegalStateException("a test");
              }
              return configuration;
            });
    await(() -> isServing(0, "1") && isServing(1, "1"));
    setDesiredVersion("2");
    await(() -> isServing(0, "2") && isServing(1, "2"));
    assertThat(heldLeases(service)).hasSize(2);
    assertThat(failures).hasPositiveValue();
  }

  @Test
  void drainingHostReleasesItsLeases() throws Exception {
    OrderService first = start("a");
    await(() -> isServing(0, "1") && isServing(1, "1"));
    loop.execute(first::drain);
    await(() -> heldLeases(first).isEmpty());
    OrderService second = start("b");
    await(() -> heldLeases(second).size() == 2);
  }
}
