package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
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
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** One seed: starts everything, carries out the plan under load, and checks what came of it. */
final class SoakRun {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest start, on a machine with much other work. */
  private static final Duration START_LIMIT = Duration.ofSeconds(60);

  private static final Duration QUESTION_WAIT = Duration.ofSeconds(2);
  private static final long POLL_MILLIS = 100;

  /** Calm after the last fault before the end counts; the platform gives 12 s for a recovery. */
  private static final Duration RECOVERY = Duration.ofSeconds(12);

  /** Time in which the end is measured, and the share that must be served in it. */
  private static final Duration END = Duration.ofSeconds(5);

  private static final double SERVED_AT_END = 0.75;

  /** Requests below which the end tells nothing. */
  private static final int MIN_AT_END = 20;

  private static final int OK = 200;

  private final SoakOptions options;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group, HttpClientOptions.defaults());
  private final Evidence evidence = new Evidence();
  private final List<String> findings = new ArrayList<>();

  private SoakRun(SoakOptions options) {
    this.options = options;
  }

  /** Plays a seed. */
  static SoakResult of(SoakOptions options) {
    SoakRun run = new SoakRun(options);
    Path directory = options.directory().resolve("seed-" + options.seed());
    try {
      Files.createDirectories(directory);
      run.play(directory);
      SoakResult result = new SoakResult(options.seed(), run.evidence, run.findings);
      Files.write(directory.resolve("result.txt"), result.lines());
      return result;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      run.http.close();
      run.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private void play(Path directory) throws IOException {
    List<Fault> plan = Plan.of(options.seed(), TimeUnit.SECONDS.toMillis(options.seconds()));
    Files.write(directory.resolve("plan.txt"), plan.stream().map(Fault::toString).toList());
    try (Fleet fleet = new Fleet(options, directory, evidence, group)) {
      Operator operator = new Operator(http, fleet.storeAddress());
      operator.write();
      fleet.start();
      awaitReady(fleet);
      List<Caller> callers = startCallers(fleet);
      new FaultInjector(fleet, operator).carryOut(plan);
      if (!plan.isEmpty()) {
        pause(RECOVERY);
      }
      long endBegan = System.currentTimeMillis();
      pause(END);
      callers.forEach(Caller::stop);
      pause(Duration.ofSeconds(1));
      checkEnd(fleet, operator, endBegan);
      findings.addAll(fleet.unplannedEnds());
    }
    findings.addAll(Verdict.of(evidence, PlatformFixtures.LIMITED, PlatformFixtures.LIMITED_RATE));
  }

  private void awaitReady(Fleet fleet) {
    long limit = System.nanoTime() + START_LIMIT.toNanos();
    for (Fleet.Host host : fleet.hosts()) {
      while (!isReady(host)) {
        if (System.nanoTime() > limit) {
          throw new IllegalStateException(host.name() + " is not ready, see its log");
        }
        pause(Duration.ofMillis(POLL_MILLIS));
      }
    }
  }

  private boolean isReady(Fleet.Host host) {
    return statusOf(
            CallerStandIn.readinessRequest(
                SocketAddresses.parse(host.readinessAddress()), QUESTION_WAIT))
        == OK;
  }

  private int statusOf(HttpRequest request) {
    try {
      HttpResponse answer = http.send(request).join();
      return answer.status();
    } catch (CompletionException e) {
      logger.atFine().log("no answer: %s", e.getMessage());
      return 0;
    }
  }

  private List<Caller> startCallers(Fleet fleet) {
    SplittableRandom random = new SplittableRandom(options.seed() + 1);
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < options.callers(); i++) {
      Caller caller = new Caller(group.next(), http, fleet, evidence, random.split());
      callers.add(caller);
      caller.start();
    }
    return callers;
  }

  /** After the calm, hosts are ready, know the newest configuration and serve. */
  private void checkEnd(Fleet fleet, Operator operator, long endBegan) {
    long sent = 0;
    long served = 0;
    for (Exchange exchange : evidence.exchanges()) {
      if (exchange.sentMillis() >= endBegan && exchange.status() != 429) {
        sent++;
        served += exchange.isServed() ? 1 : 0;
      }
    }
    if (sent < MIN_AT_END || served < sent * SERVED_AT_END) {
      findings.add("RECOVER " + served + " of " + sent + " served after the last fault");
    }
    for (Fleet.Host host : fleet.hosts()) {
      if (!isReady(host)) {
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
    evidence.sending(id, RequestKind.SAFE);
    int status =
        statusOf(
            CallerStandIn.request(
                SocketAddresses.parse(host.address()),
                "/" + route + "/" + id,
                id,
                operator.newestKey(),
                false,
                QUESTION_WAIT));
    if (status != OK) {
      findings.add("CONFIG " + host.name() + " answers " + status + " for the newest route");
    }
  }

  private static void pause(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
