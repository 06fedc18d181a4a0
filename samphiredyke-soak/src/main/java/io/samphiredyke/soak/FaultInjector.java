package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import io.samphiredyke.platform.standin.EndpointStandIn;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Carries out the faults of a plan, each on a thread of its own, so that they overlap. */
final class FaultInjector {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The platform's pause before it starts a process again, milliseconds. */
  private static final long RESTART_MILLIS = 500;

  /** Grace time after SIGTERM, as in the settings, and some more, seconds. */
  private static final int GRACE_SECONDS = 10;

  /** Time after which an address may be taken by another endpoint, as the platform states. */
  private static final long REUSE_MILLIS = 2_000;

  /** Time that a draining endpoint takes to leave, seconds. */
  private static final int DRAIN_SECONDS = 10;

  /** Share of its requests that a faulty endpoint mishandles. */
  private static final double FAULT_SHARE = 0.4;

  private static final Link.Mode[] HARMS = {
    Link.Mode.DELAY, Link.Mode.HOLD, Link.Mode.NO_ANSWERS, Link.Mode.SILENT
  };

  private static final EndpointStandIn.Behaviour[] FAULTS = {
    EndpointStandIn.Behaviour.ERROR,
    EndpointStandIn.Behaviour.LOSE_ANSWER,
    EndpointStandIn.Behaviour.BREAK_OFF,
    EndpointStandIn.Behaviour.HANG,
    EndpointStandIn.Behaviour.SLOW,
    EndpointStandIn.Behaviour.REFUSE_UNRUN
  };

  private final Fleet fleet;
  private final Operator operator;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  FaultInjector(Fleet fleet, Operator operator) {
    this.fleet = fleet;
    this.operator = operator;
  }

  /** Carries out a plan; returns when the last fault is over. */
  void carryOut(List<Fault> plan) {
    long start = System.nanoTime();
    CompletableFuture<?>[] running =
        plan.stream()
            .map(fault -> CompletableFuture.runAsync(() -> carryOut(fault, start), threads))
            .toArray(CompletableFuture[]::new);
    try {
      CompletableFuture.allOf(running).join();
    } catch (CompletionException e) {
      throw new IllegalStateException("a fault could not be carried out", e);
    } finally {
      threads.shutdown();
    }
  }

  private void carryOut(Fault fault, long start) {
    pause(fault.atMillis() - (System.nanoTime() - start) / 1_000_000);
    logger.atInfo().log("%s", fault);
    switch (fault.kind()) {
      case STOP_HOST -> stop(fleet.host(fault.target()));
      case KILL_HOST -> restart(fleet.host(fault.target()));
      case KILL_ALL_HOSTS -> killAll();
      case PAUSE_HOST -> hold(fleet.host(fault.target()).process(), fault.forMillis());
      case HANG_UP_HOST -> fleet.host(fault.target()).process().signal("HUP");
      case ROLL_HOSTS -> fleet.hosts().forEach(this::stop);
      case HARM_CALLERS_LINK -> harm(fleet.host(fault.target()).callers(), fault);
      case HARM_STORE_LINK -> harm(fleet.host(fault.target()).toStore(), fault);
      case HARM_ENDPOINT_LINK -> harm(fleet.endpoint(fault.target()).link(), fault);
      case RESET_LINK -> linkOf(fault).reset();
      case STORE_BUSY -> store("BUSY", fault.forMillis());
      case STORE_LOSES_ANSWERS -> store("ANSWERS_LOST", fault.forMillis());
      case STORE_PAUSED -> hold(fleet.store(), fault.forMillis());
      case STORE_COMPACTED -> fleet.store().command("compact");
      case KILL_ENDPOINT -> replaceDead(fleet.endpoint(fault.target()));
      case PAUSE_ENDPOINT -> hold(fleet.endpoint(fault.target()).process(), fault.forMillis());
      case DRAIN_ENDPOINT -> drain(fleet.endpoint(fault.target()));
      case HARM_ENDPOINT -> misbehave(fault);
      case ADD_ROUTE -> operator.addRoute();
      case REVOKE_KEY -> operator.replaceKey();
      default -> throw new IllegalStateException("no such fault: " + fault);
    }
  }

  private Link linkOf(Fault fault) {
    Link[] links = {
      fleet.host(fault.target()).callers(),
      fleet.host(fault.target()).toStore(),
      fleet.endpoint(fault.target()).link()
    };
    return fault.choose(links);
  }

  private void stop(Fleet.Host host) {
    ChildProcess process = host.process();
    process.signal("TERM");
    if (!process.await(GRACE_SECONDS)) {
      logger.atWarning().log("%s outlived its grace time and is killed", host.name());
    }
    restart(host);
  }

  private void restart(Fleet.Host host) {
    host.process().signal("KILL");
    pause(RESTART_MILLIS);
    host.restart();
  }

  private void killAll() {
    fleet.hosts().forEach(host -> host.process().signal("KILL"));
    pause(RESTART_MILLIS);
    fleet.hosts().forEach(Fleet.Host::restart);
  }

  private void hold(ChildProcess process, long millis) {
    process.signal("STOP");
    pause(millis);
    process.signal("CONT");
  }

  private void harm(Link link, Fault fault) {
    link.mode(fault.choose(HARMS));
    pause(fault.forMillis());
    link.mode(Link.Mode.PASS);
  }

  private void store(String mode, long millis) {
    fleet.store().command("mode " + mode);
    pause(millis);
    fleet.store().command("mode UP");
  }

  private void replaceDead(Fleet.EndpointSlot endpoint) {
    endpoint.process().signal("KILL");
    pause(REUSE_MILLIS);
    endpoint.replace();
  }

  private void drain(Fleet.EndpointSlot endpoint) {
    ChildProcess leaving = endpoint.process();
    leaving.expectEnd();
    leaving.command("drain");
    leaving.await(DRAIN_SECONDS);
    pause(REUSE_MILLIS);
    endpoint.replace();
  }

  private void misbehave(Fault fault) {
    ChildProcess process = fleet.endpoint(fault.target()).process();
    process.command("fault " + fault.choose(FAULTS) + " " + FAULT_SHARE);
    pause(fault.forMillis());
    process.command("fault SERVE 0");
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
