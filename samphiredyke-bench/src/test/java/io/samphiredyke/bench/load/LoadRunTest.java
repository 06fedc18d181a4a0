package io.samphiredyke.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.standins.engine.EngineOptions;
import io.samphiredyke.standins.engine.EngineSettings;
import io.samphiredyke.standins.engine.EngineStandIn;
import io.samphiredyke.standins.plain.PlainSettings;
import io.samphiredyke.standins.plain.PlainStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoadRunTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final int REQUESTS = 40;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  private final HttpClient http =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  private EngineStandIn engine;
  private PlainStandIn plain;
  private ForwardingEntry entry;

  @BeforeEach
  void start() {
    EngineOptions fast = EngineOptions.builder().prefillRate(1e6).decodeRate(2000).build();
    EngineSettings settings =
        EngineSettings.builder().name("e1").models(List.of("chat")).options(fast).build();
    engine = EngineStandIn.start(StandInRuntime.system(group.next()), ANY_PORT, settings).join();
    PlainSettings calls = new PlainSettings("p1", "dc1", Duration.ofMillis(1), 4);
    plain = PlainStandIn.start(StandInRuntime.system(group.next()), ANY_PORT, calls).join();
    entry = new ForwardingEntry(group, engine.address(), plain.address());
  }

  @AfterEach
  void stop() {
    entry.close();
    engine.stop().join();
    plain.stop().join();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private LoadReport run() {
    LoadPlan plan = plan();
    LoadRun run = new LoadRun(group, plan, List.of(entry.address()), percent -> {});
    List<Observation> observations = run.start(Schedule.of(plan, 1)).join();
    run.close();
    return LoadReport.of(
        1, Instant.EPOCH, 1, observations, EndpointCounts.readAll(http, plan.endpoints()));
  }

  private LoadPlan plan() {
    return new LoadPlan(
        REQUESTS,
        200,
        List.of(new LoadPlan.Customer("a", "key", 1)),
        List.of(service("chat", LoadPlan.Kind.MODEL), service("file", LoadPlan.Kind.PLAIN)),
        List.of(endpoint("e1", engine.address()), endpoint("p1", plain.address())));
  }

  private static LoadPlan.Endpoint endpoint(String name, InetSocketAddress address) {
    return new LoadPlan.Endpoint(name, "127.0.0.1:" + address.getPort());
  }

  private static LoadPlan.Service service(String name, LoadPlan.Kind kind) {
    return new LoadPlan.Service(
        name,
        kind,
        name,
        1,
        Set.of("dc1"),
        null,
        30_000,
        0,
        new LoadPlan.Range(2, 200),
        new LoadPlan.Range(1, 50),
        "call");
  }

  @Test
  void reportsNoViolationForCorrectSystem() {
    LoadReport report = run();
    assertThat(report.violations()).isEmpty();
    assertThat(report.total().good()).isEqualTo(REQUESTS);
    assertThat(report.prefilledTokens()).isPositive();
  }

  @Test
  void reportsCallsThatWereSentTwice() {
    entry.sendTwice();
    LoadReport report = run();
    int calls = report.tiers().get("file").offered();
    assertThat(report.violated().get(Violation.Kind.DOUBLED)).isGreaterThanOrEqualTo(calls);
  }

  @Test
  void reportsRequestsRefusedAfterExecution() {
    entry.reportNotRunAfterDispatch();
    LoadReport report = run();
    assertThat(report.violated().get(Violation.Kind.FALSE_NOT_RUN)).isEqualTo(REQUESTS);
    assertThat(report.total().refused()).isEqualTo(REQUESTS);
  }
}
