package io.samphiredyke.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.platform.standin.CallerStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** The run of one seed: starts all processes, injects faults under load and checks the result. */
final class SoakRun {

  /**
   * Time between the last fault and the final measurement; the platform allows 12 s for recovery.
   */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

  /** Duration of the final measurement. */
  private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(5);

  /** Fraction of requests that must be served in the final measurement. */
  private static final double MIN_SERVED_RATIO = 0.75;

  /** Minimum number of requests for the final measurement to be significant. */
  private static final int MIN_MEASURED_REQUESTS = 20;

  /** Time after which a request of a caller has ended. */
  private static final long LONGEST_MILLIS = 5_000;

  private static final int OK = 200;

  private final SoakOptions options;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  private final HostProbe probe = new HostProbe(http);
  private final Observations observations = new Observations();
  private final List<String> findings = new ArrayList<>();
  private final List<String> findingsOfEarlier = new ArrayList<>();

  private SoakRun(SoakOptions options) {
    this.options = options;
  }

  /** Runs a seed. */
  static SoakResult run(SoakOptions options) {
    SoakRun run = new SoakRun(options);
    Path directory = options.directory().resolve("seed-" + options.seed());
    try {
      Files.createDirectories(directory);
      run.execute(directory);
      SoakResult result =
          new SoakResult(options.seed(), run.observations, run.findings, run.findingsOfEarlier);
      Files.write(directory.resolve("result.txt"), result.lines());
      return result;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      run.http.close();
      run.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private void execute(Path directory) throws IOException {
    List<Fault> plan =
        FaultPlan.generate(options.seed(), TimeUnit.SECONDS.toMillis(options.seconds()));
    Files.write(directory.resolve("plan.txt"), plan.stream().map(Fault::toString).toList());
    try (Fleet fleet = new Fleet(options, directory, observations, group)) {
      Operator operator = new Operator(http, fleet.storeAddress());
      operator.writeConfiguration();
      fleet.start();
      probe.awaitReady(fleet);
      List<Caller> callers = startCallers(fleet);
      RollingUpgrade upgrade = new RollingUpgrade(fleet, probe, options, (host, from, to) -> {});
      upgrade.start();
      new FaultInjector(fleet, operator).inject(plan);
      upgrade.await();
      callers.forEach(Caller::endCrashing);
      if (!plan.isEmpty()) {
        pause(RECOVERY_TIME);
      }
      long measurementStart = System.currentTimeMillis();
      pause(MEASUREMENT_TIME);
      callers.forEach(Caller::stop);
      pause(Duration.ofSeconds(1));
      checkRecovery(fleet, operator, measurementStart);
      findings.addAll(fleet.unexpectedExits());
      Files.write(directory.resolve("builds.txt"), fleet.builds().lines());
      checkExchanges(fleet.builds());
    }
  }

  private List<Caller> startCallers(Fleet fleet) {
    SplittableRandom random = new SplittableRandom(options.seed() + 1);
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < options.callers(); i++) {
      Caller caller = new Caller(group.next(), http, fleet, observations, random.split());
      callers.add(caller);
      caller.start();
    }
    return callers;
  }

  /**
   * Checks that hosts are ready, use the latest configuration and serve requests after recovery.
   */
  private void checkRecovery(Fleet fleet, Operator operator, long measurementStart) {
    long sent = 0;
    long served = 0;
    for (Exchange exchange : observations.exchanges()) {
      if (exchange.sentMillis() >= measurementStart && exchange.status() != 429) {
        sent++;
        served += exchange.isServed() ? 1 : 0;
      }
    }
    if (sent < MIN_MEASURED_REQUESTS || served < sent * MIN_SERVED_RATIO) {
      findings.add("RECOVER " + served + " of " + sent + " served after the last fault");
    }
    for (Fleet.Host host : fleet.hosts()) {
      if (!probe.isReady(host)) {
        findings.add("RECOVER " + host.name() + " is not ready after the last fault");
        continue;
      }
      checkConfiguration(host, operator);
    }
  }

  private void checkConfiguration(Fleet.Host host, Operator operator) {
    List<String> routes = operator.routes();
    String route = routes.isEmpty() ? RequestKind.SAFE.route() : routes.get(routes.size() - 1);
    String id = "end-" + host.name();
    observations.recordRequest(id, RequestKind.SAFE);
    int status =
        probe.statusOf(
            CallerStandIn.request(
                SocketAddresses.parse(host.address()),
                "/" + route + "/" + id,
                id,
                operator.newestKey(),
                false,
                HostProbe.TIMEOUT));
    if (status != OK) {
      findings.add("CONFIG " + host.name() + " responds " + status + " for the newest route");
    }
  }

  private void checkExchanges(Builds builds) {
    ResultChecker.check(observations, PlatformFixtures.LIMITED, PlatformFixtures.LIMITED_RATE)
        .stream()
        .map(line -> line + builds.ofLine(line, observations.exchanges(), LONGEST_MILLIS))
        .forEach(line -> (builds.isOfEarlier(line) ? findingsOfEarlier : findings).add(line));
  }

  private static void pause(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
