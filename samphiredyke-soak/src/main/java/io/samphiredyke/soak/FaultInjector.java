package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.Link;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Injects the faults of a plan, each on its own thread so that faults can overlap. */
final class FaultInjector {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay with which the platform restarts a process. */
  private static final long RESTART_DELAY_MILLIS = 500;

  /** Time to exit after SIGTERM: the grace time of the settings and a margin. */
  private static final int STOP_TIMEOUT_SECONDS = 10;

  /** Time after which the platform may assign an address to another endpoint. */
  private static final long ADDRESS_REUSE_MILLIS = 2_000;

  /** Maximum time for which a draining endpoint runs. */
  private static final int DRAIN_TIMEOUT_SECONDS = 10;

  /** Fraction of its requests that a faulty endpoint mishandles. */
  private static final double ENDPOINT_FAULT_RATIO = 0.4;

  /** Time for which an endpoint serves after it has stated that it stops. */
  private static final long LEAVING_MILLIS = 3_000;

  /** Pause that an endpoint states in refusals. */
  private static final double STATED_PAUSE_SECONDS = 1.5;

  /** Limit that an endpoint states, below its share of the load. */
  private static final double STATED_LIMIT_PER_SECOND = 2;

  private static final Link.Mode[] LINK_FAULTS = {
    Link.Mode.DELAY, Link.Mode.STALL, Link.Mode.DROP_RESPONSES, Link.Mode.DROP_ALL
  };

  private static final EndpointStandIn.Behaviour[] ENDPOINT_FAULTS = {
    EndpointStandIn.Behaviour.ERROR,
    EndpointStandIn.Behaviour.LOSE_ANSWER,
    EndpointStandIn.Behaviour.BREAK_OFF,
    EndpointStandIn.Behaviour.HANG,
    EndpointStandIn.Behaviour.SLOW,
    EndpointStandIn.Behaviour.REFUSE_UNRUN
  };

  private final Fleet fleet;
  private final Operator operator;
  private final ExecutorService executor = Executors.newCachedThreadPool();

  FaultInjector(Fleet fleet, Operator operator) {
    this.fleet = fleet;
    this.operator = operator;
  }

  /** Injects the faults of a plan; returns when the last fault has ended. */
  void inject(List<Fault> plan) {
    long start = System.nanoTime();
    CompletableFuture<?>[] running =
        plan.stream()
            .map(fault -> CompletableFuture.runAsync(() -> inject(fault, start), executor))
            .toArray(CompletableFuture[]::new);
    try {
      CompletableFuture.allOf(running).join();
    } catch (CompletionException e) {
      throw new IllegalStateException("fault injection failed", e);
    } finally {
      executor.shutdown();
    }
  }

  private void inject(Fault fault, long start) {
    pause(fault.startMillis() - (System.nanoTime() - start) / 1_000_000);
    logger.atInfo().log("injecting fault: %s", fault);
    switch (fault.kind()) {
      case STOP_HOST -> stopAndRestart(fleet.host(fault.target()));
      case KILL_HOST -> killAndRestart(fleet.host(fault.target()));
      case KILL_ALL_HOSTS -> restartAllHosts();
      case PAUSE_HOST -> suspend(fleet.host(fault.target()).process(), fault.durationMillis());
      case HANG_UP_HOST -> fleet.host(fault.target()).process().signal("HUP");
      case ROLL_HOSTS -> fleet.hosts().forEach(this::stopAndRestart);
      case HARM_CALLERS_LINK -> degradeLink(fleet.host(fault.target()).callerLink(), fault);
      case HARM_STORE_LINK -> degradeLink(fleet.host(fault.target()).storeLink(), fault);
      case HARM_ENDPOINT_LINK -> degradeLink(fleet.endpoint(fault.target()).link(), fault);
      case RESET_LINK -> linkOf(fault).reset();
      case STORE_BUSY -> setStoreMode("BUSY", fault.durationMillis());
      case STORE_LOSES_ANSWERS -> setStoreMode("ANSWERS_LOST", fault.durationMillis());
      case STORE_PAUSED -> suspend(fleet.store(), fault.durationMillis());
      case STORE_COMPACTED -> fleet.store().sendCommand("compact");
      case KILL_ENDPOINT -> killAndReplace(fleet.endpoint(fault.target()));
      case PAUSE_ENDPOINT ->
          suspend(fleet.endpoint(fault.target()).process(), fault.durationMillis());
      case DRAIN_ENDPOINT -> drainAndReplace(fleet.endpoint(fault.target()));
      case HARM_ENDPOINT -> degradeEndpoint(fault);
      case ADD_ROUTE -> operator.addRoute();
      case REVOKE_KEY -> operator.replaceKey();
      case SILENCE_STORE_LINKS -> silenceStore();
      case SILENCE_LINK -> linkOf(fault).silence();
      case RESTORE_STORE -> restoreStore(fault.durationMillis());
      case STATE_LEAVING -> leaveAndReplace(fleet.endpoint(fault.target()));
      case STATE_PAUSE -> statePause(fault);
      case STATE_LIMIT -> stateLimit(fault);
      default -> throw new IllegalStateException("unknown fault kind: " + fault);
    }
  }

  private Link linkOf(Fault fault) {
    Link[] links = {
      fleet.host(fault.target()).callerLink(),
      fleet.host(fault.target()).storeLink(),
      fleet.endpoint(fault.target()).link()
    };
    return fault.choose(links);
  }

  private void stopAndRestart(Fleet.Host host) {
    ChildProcess process = host.process();
    process.signal("TERM");
    if (!process.awaitExit(STOP_TIMEOUT_SECONDS)) {
      logger.atWarning().log("%s did not exit in time and is killed", host.name());
    }
    killAndRestart(host);
  }

  private void killAndRestart(Fleet.Host host) {
    host.process().signal("KILL");
    pause(RESTART_DELAY_MILLIS);
    host.restart();
  }

  private void restartAllHosts() {
    fleet.hosts().forEach(host -> host.process().signal("KILL"));
    pause(RESTART_DELAY_MILLIS);
    fleet.hosts().forEach(Fleet.Host::restart);
  }

  private void suspend(ChildProcess process, long millis) {
    process.signal("STOP");
    pause(millis);
    process.signal("CONT");
  }

  private void degradeLink(Link link, Fault fault) {
    link.mode(fault.choose(LINK_FAULTS));
    pause(fault.durationMillis());
    link.mode(Link.Mode.PASS);
  }

  private void setStoreMode(String mode, long millis) {
    fleet.store().sendCommand("mode " + mode);
    pause(millis);
    fleet.store().sendCommand("mode UP");
  }

  private void killAndReplace(Fleet.Endpoint endpoint) {
    endpoint.process().signal("KILL");
    pause(ADDRESS_REUSE_MILLIS);
    endpoint.replace();
  }

  private void drainAndReplace(Fleet.Endpoint endpoint) {
    ChildProcess draining = endpoint.process();
    draining.expectExit();
    draining.sendCommand("drain");
    draining.awaitExit(DRAIN_TIMEOUT_SECONDS);
    pause(ADDRESS_REUSE_MILLIS);
    endpoint.replace();
  }

  private void silenceStore() {
    fleet.hosts().forEach(host -> host.storeLink().silence());
    operator.addRoute();
  }

  private void restoreStore(long millis) {
    fleet.store().sendCommand("checkpoint");
    pause(millis);
    fleet.store().sendCommand("restore");
    operator.writeAgain();
  }

  private void leaveAndReplace(Fleet.Endpoint endpoint) {
    endpoint.process().sendCommand("leaving");
    pause(LEAVING_MILLIS);
    killAndReplace(endpoint);
  }

  private void statePause(Fault fault) {
    ChildProcess process = fleet.endpoint(fault.target()).process();
    process.sendCommand("pause " + STATED_PAUSE_SECONDS);
    process.sendCommand(
        "fault " + EndpointStandIn.Behaviour.REFUSE_UNRUN + " " + ENDPOINT_FAULT_RATIO);
    pause(fault.durationMillis());
    process.sendCommand("fault SERVE 0");
    process.sendCommand("pause");
  }

  private void stateLimit(Fault fault) {
    ChildProcess process = fleet.endpoint(fault.target()).process();
    process.sendCommand("limit " + STATED_LIMIT_PER_SECOND);
    pause(fault.durationMillis());
    process.sendCommand("limit");
  }

  private void degradeEndpoint(Fault fault) {
    ChildProcess process = fleet.endpoint(fault.target()).process();
    process.sendCommand("fault " + fault.choose(ENDPOINT_FAULTS) + " " + ENDPOINT_FAULT_RATIO);
    pause(fault.durationMillis());
    process.sendCommand("fault SERVE 0");
  }

  private static void pause(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
