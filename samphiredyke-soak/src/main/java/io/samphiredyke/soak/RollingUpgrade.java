package io.samphiredyke.soak;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.List;

/**
 * Replaces the hosts of an earlier build one after the other, by SIGTERM and SIGKILL in turn: half
 * of them and back, all of them and back, then all of them again.
 */
final class RollingUpgrade implements Runnable {

  /** Is called with each replacement by SIGKILL. */
  interface KillListener {
    /** A host was not running from the first time to the second one. */
    void killed(Fleet.Host host, long beginMillis, long endMillis);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int STOP_SECONDS = 10;
  private static final long READY_MILLIS = 20_000;
  private static final long POLL_MILLIS = 50;

  /** Time for which a group stays as it is after a replacement. */
  private static final long MIXED_MILLIS = 700;

  private final Fleet fleet;
  private final HostProbe probe;
  private final SoakOptions options;
  private final KillListener listener;
  private int replacements;
  private final Thread thread = new Thread(this, "upgrade");

  RollingUpgrade(Fleet fleet, HostProbe probe, SoakOptions options, KillListener listener) {
    this.fleet = fleet;
    this.probe = probe;
    this.options = options;
    this.listener = listener;
  }

  /** Begins if the run has two builds. */
  void start() {
    if (options.isMixed()) {
      thread.start();
    }
  }

  boolean isRunning() {
    return thread.isAlive();
  }

  void await() {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void run() {
    List<Fleet.Host> all = fleet.hosts();
    List<Fleet.Host> half = all.subList(0, all.size() / 2);
    try {
      replace(half, options.gatewayJar());
      replace(half, options.gatewayBefore());
      replace(all, options.gatewayJar());
      replace(all, options.gatewayBefore());
      replace(all, options.gatewayJar());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void replace(List<Fleet.Host> hosts, Path jar) throws InterruptedException {
    for (Fleet.Host host : hosts) {
      boolean isKill = replacements++ % 2 == 1;
      long begin = System.currentTimeMillis();
      host.process().signal(isKill ? "KILL" : "TERM");
      if (!host.process().awaitExit(STOP_SECONDS)) {
        logger.atWarning().log("%s did not exit in time and is killed", host.name());
        isKill = true;
      }
      host.restart(jar);
      awaitReady(host);
      if (isKill) {
        listener.killed(host, begin, System.currentTimeMillis());
      }
      Thread.sleep(MIXED_MILLIS);
    }
  }

  private void awaitReady(Fleet.Host host) throws InterruptedException {
    long deadline = System.currentTimeMillis() + READY_MILLIS;
    while (!probe.isReady(host) && System.currentTimeMillis() < deadline) {
      Thread.sleep(POLL_MILLIS);
    }
  }
}
