package io.samphiredyke.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.platform.standin.EndpointFault;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** The run of one seed in which endpoints are faulty; links and the store work. */
final class EndpointFaultsRun {

  /** Time between two kills of the same endpoint, on average. */
  private static final long ENDPOINT_KILL_MILLIS = 9_000;

  private static final long HOSTS_KILL_MILLIS = 9_000;
  private static final int MIN_PAUSE_MILLIS = 80;
  private static final int MAX_PAUSE_MILLIS = 600;

  /** Polls for each pause of a host, on average. */
  private static final int PAUSE_ONE_IN = 8;

  private static final long POLL_MILLIS = 100;
  private static final long END_MILLIS = 8_000;

  private final SoakOptions options;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  private final HostProbe probe = new HostProbe(http);
  private final Observations observations = new Observations();
  private final Queue<CallerOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private final List<EndpointFaultsChecker.Outage> outages =
      Collections.synchronizedList(new ArrayList<>());
  private @Nullable Builds builds;
  private final SplittableRandom random;
  private final long beginMillis = System.currentTimeMillis();

  private EndpointFaultsRun(SoakOptions options) {
    this.options = options;
    random = new SplittableRandom(options.seed());
  }

  /** Returns the names of all faults, separated by commas. */
  static String allFaults() {
    return Arrays.stream(EndpointFault.values()).map(Enum::name).collect(Collectors.joining(","));
  }

  /** Runs a seed. */
  static EndpointFaultsResult run(SoakOptions options) {
    EndpointFaultsRun run = new EndpointFaultsRun(options);
    Path directory = options.directory().resolve("endpoint-faults-" + options.seed());
    try {
      Files.createDirectories(directory);
      run.execute(directory);
      EndpointFaultsResult result =
          new EndpointFaultsResult(
              options,
              run.observations,
              run.outcomes,
              run.findings(directory),
              Objects.requireNonNull(run.builds));
      Files.write(directory.resolve("result.txt"), result.lines());
      return result;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      run.http.close();
      run.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private List<EndpointFaultsChecker.Finding> findings(Path directory) throws IOException {
    List<EndpointFaultsChecker.Finding> findings =
        new ArrayList<>(EndpointFaultsChecker.check(observations, outcomes, outages));
    HostLogs logs = new HostLogs(directory, beginMillis);
    if (outages.isEmpty()) {
      findings.addAll(logs.unreported(outcomes));
    }
    Builds started = Objects.requireNonNull(builds);
    return logs.addTo(findings).stream().map(finding -> finding.at(started, outcomes)).toList();
  }

  private void execute(Path directory) {
    try (Fleet fleet = new Fleet(options, directory, observations, group)) {
      builds = fleet.builds();
      new Operator(http, fleet.storeAddress()).writeConfiguration();
      fleet.start();
      probe.awaitReady(fleet);
      boolean sendsAgain = has(EndpointFault.REFUSAL_COPIES) || has(EndpointFault.BRITTLE);
      List<KeptCaller> callers = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < options.callers(); i++) {
        KeptCaller caller =
            new KeptCaller(fleet, random.split(), outcomes, observations, sendsAgain);
        callers.add(caller);
        threads.add(new Thread(caller, "caller-" + i));
      }
      threads.forEach(Thread::start);
      injectFaults(fleet);
      callers.forEach(KeptCaller::stop);
      for (Thread thread : threads) {
        thread.join(END_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean has(EndpointFault fault) {
    return List.of(options.endpointFaults().split(",")).contains(fault.name());
  }

  /** Kills endpoints and hosts, and makes endpoints brittle, until the end of the run. */
  private void injectFaults(Fleet fleet) throws InterruptedException {
    long begin = System.currentTimeMillis();
    long end = begin + TimeUnit.SECONDS.toMillis(options.seconds());
    long killMillis = ENDPOINT_KILL_MILLIS / options.endpoints();
    long nextEndpoint = begin + killMillis;
    long nextHosts = begin + HOSTS_KILL_MILLIS / 2;
    EndpointDeaths deaths =
        new EndpointDeaths(fleet, observations, options.endpointFaults(), options.seed());
    RollingUpgrade upgrade =
        new RollingUpgrade(
            fleet,
            probe,
            options,
            (host, from, to) ->
                outages.add(new EndpointFaultsChecker.Outage(from, to, false, host.name())));
    upgrade.start();
    BrittlePhases phases = new BrittlePhases(fleet, random.split(), begin);
    for (long now = begin; now < end || upgrade.isRunning(); now = System.currentTimeMillis()) {
      if (has(EndpointFault.BRITTLE)) {
        phases.advance(now);
      }
      deaths.advance(now);
      if (has(EndpointFault.KILLS) && now > nextEndpoint) {
        deaths.replace(fleet.endpoint(random.nextInt(options.endpoints())));
        nextEndpoint = now + killMillis;
      }
      if (has(EndpointFault.HOSTS) && now > nextHosts) {
        killHosts(fleet, fleet.hosts());
        nextHosts = now + HOSTS_KILL_MILLIS;
      } else if (has(EndpointFault.ONE_HOST) && now > nextHosts) {
        killHosts(fleet, List.of(fleet.host(random.nextInt(options.hosts()))));
        nextHosts = now + HOSTS_KILL_MILLIS;
      }
      if (has(EndpointFault.HOST_PAUSES) && random.nextInt(PAUSE_ONE_IN) == 0) {
        pause(fleet.host(random.nextInt(options.hosts())));
      }
      Thread.sleep(POLL_MILLIS);
    }
    if (has(EndpointFault.BRITTLE)) {
      phases.end(System.currentTimeMillis());
      Thread.sleep(POLL_MILLIS);
    }
  }

  private void pause(Fleet.Host host) throws InterruptedException {
    host.process().signal("STOP");
    Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
    host.process().signal("CONT");
  }

  private void killHosts(Fleet fleet, List<Fleet.Host> hosts) {
    long begin = System.currentTimeMillis();
    hosts.forEach(host -> host.process().signal("KILL"));
    hosts.forEach(Fleet.Host::restart);
    probe.awaitReady(fleet);
    boolean isOfAll = hosts.size() == options.hosts();
    outages.add(new EndpointFaultsChecker.Outage(begin, System.currentTimeMillis(), isOfAll, ""));
  }
}
