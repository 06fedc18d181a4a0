package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.quarantine.CrashSuspects;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.quarantine.RequestQuarantine;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Finds the requests that crash endpoints, together with the other hosts.
 *
 * <p>A host reports the crashes that it sees to all others, and each of them decides by itself from
 * all reports, so that the knowledge outlives any of them. What is found is announced, stored by
 * the archive, and compared with a random host once a second, as messages can be lost.
 */
public final class CrashWatch {

  /** Stores quarantined requests for hosts that start later. */
  @FunctionalInterface
  public interface Archive {

    /**
     * Called for each request that is quarantined.
     *
     * @param isReporter whether this host has seen one of the crashes
     */
    void put(RequestFingerprint request, boolean isReporter);
  }

  /** Own reports that are sent again to a host that comes back, the newest. */
  private static final int MAX_OWN_REPORTS = 64;

  /** Announcements in response to a differing digest, the newest entries. */
  private static final int MAX_ANNOUNCEMENTS = 64;

  private static final Duration SETTLE = Duration.ofNanos(CrashSuspects.SETTLE_NANOS);

  private final ControlEventLoop loop;
  private final PoolScheduler scheduler;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Consumer<SchedulingMessage> broadcast;
  private final DecisionLog log;
  private final CrashSuspects suspects = new CrashSuspects();
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final Deque<SchedulingMessage.EndpointCrashed> ownReports = new ArrayDeque<>();
  private final Set<RequestFingerprint> reported = new HashSet<>();
  private Archive archive = (request, isReporter) -> {};

  /**
   * Creates an instance that suspects no request.
   *
   * @param scheduler scheduler of this host
   * @param transport sends a message to a peer address
   * @param broadcast sends a message to all other hosts
   */
  CrashWatch(
      ControlEventLoop loop,
      PoolScheduler scheduler,
      BiConsumer<String, SchedulingMessage> transport,
      Consumer<SchedulingMessage> broadcast,
      DecisionLog log) {
    this.loop = loop;
    this.scheduler = scheduler;
    this.transport = transport;
    this.broadcast = broadcast;
    this.log = log;
  }

  /** Sets where quarantined requests are stored for hosts that start later. */
  public void setArchive(Archive value) {
    archive = value;
  }

  /** Returns whether no request is suspected or quarantined, so that none needs a fingerprint. */
  public boolean isEmpty() {
    return suspects.isEmpty() && quarantine.size() == 0;
  }

  /** Returns the quarantined requests. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the number of suspected requests. */
  public int suspectCount() {
    return suspects.size();
  }

  /** Returns whether a request must run beside no other one that this holds for. */
  public boolean mustBeIsolated(RequestFingerprint request) {
    return suspects.mustBeIsolated(request);
  }

  /** Returns whether a decision on a request is imminent, within {@link #settleTime()}. */
  public boolean isUndecided(RequestFingerprint request) {
    return suspects.isUndecided(request, loop.nanoTime());
  }

  /** Returns how long to wait for a decision. */
  public Duration settleTime() {
    return SETTLE;
  }

  private static String instance(EndpointRecord endpoint) {
    return endpoint.id() + "@" + endpoint.startedAtMillis();
  }

  /**
   * Records that an endpoint ended the connection of a request of this host.
   *
   * @param sentAt when the request was sent
   * @param requestId id of the caller's attempt, for the log
   */
  public void crashed(
      EndpointRecord endpoint, RequestFingerprint request, long sentAt, String requestId) {
    String instance = instance(endpoint);
    if (suspects.hadCrashedBefore(instance, sentAt)) {
      return;
    }
    SchedulingMessage.EndpointCrashed report =
        new SchedulingMessage.EndpointCrashed(instance, request);
    if (!observe(report, requestId)) {
      return;
    }
    reported.add(request);
    ownReports.add(report);
    if (ownReports.size() > MAX_OWN_REPORTS) {
      reported.remove(ownReports.remove().request());
    }
    broadcast.accept(report);
  }

  private boolean observe(SchedulingMessage.EndpointCrashed report, String source) {
    if (quarantine.contains(report.request())) {
      suspects.explain(report.instance(), loop.nanoTime());
      return true;
    }
    if (!suspects.crashed(report.request(), report.instance(), loop.nanoTime())) {
      return false;
    }
    log.event(
        "request_suspected",
        "request",
        report.request(),
        "endpoint",
        report.instance(),
        "source",
        source);
    loop.schedule(this::decide, SETTLE);
    return true;
  }

  private void decide() {
    for (RequestFingerprint request : suspects.findCauses(loop.nanoTime())) {
      if (add(request, "crashes")) {
        broadcast.accept(new SchedulingMessage.RequestQuarantined(request));
      }
    }
  }

  /**
   * Quarantines a request.
   *
   * @param source host that found it, or where it was read, for the log
   * @return whether it is new
   */
  public boolean add(RequestFingerprint request, String source) {
    suspects.explain(request);
    if (!quarantine.add(request)) {
      return false;
    }
    log.event("request_quarantined", "request", request, "source", source);
    scheduler.refuseIsolated(request);
    archive.put(request, reported.contains(request));
    return true;
  }

  /** Records that a request of this host was served. */
  public void served(RequestFingerprint request) {
    if (suspects.served(request)) {
      log.event("request_cleared", "request", request, "source", "served");
      broadcast.accept(new SchedulingMessage.RequestServed(request));
    }
  }

  /**
   * Records that an endpoint responded.
   *
   * @param sentAt when the request was sent
   */
  public void responded(EndpointRecord endpoint, long sentAt) {
    String instance = instance(endpoint);
    if (suspects.responded(instance, sentAt, loop.nanoTime())) {
      log.event("crash_dismissed", "endpoint", instance, "source", "response");
      broadcast.accept(new SchedulingMessage.EndpointResponded(instance));
    }
  }

  /** Records that an endpoint is no longer reached at its address. */
  public void unreachable(EndpointRecord endpoint) {
    suspects.confirmed(instance(endpoint));
  }

  /** Handles the message of another host; returns whether it is one of this component. */
  boolean received(String from, SchedulingMessage message) {
    if (message instanceof SchedulingMessage.EndpointCrashed report) {
      observe(report, from);
    } else if (message instanceof SchedulingMessage.RequestServed served) {
      if (suspects.served(served.request())) {
        log.event("request_cleared", "request", served.request(), "source", from);
      }
    } else if (message instanceof SchedulingMessage.EndpointResponded responded) {
      if (suspects.dismiss(responded.instance(), loop.nanoTime())) {
        log.event("crash_dismissed", "endpoint", responded.instance(), "source", from);
      }
    } else if (message instanceof SchedulingMessage.RequestQuarantined quarantined) {
      add(quarantined.request(), from);
    } else if (message instanceof SchedulingMessage.QuarantineDigest digest) {
      receivedDigest(from, digest);
    } else {
      return false;
    }
    return true;
  }

  private void receivedDigest(String from, SchedulingMessage.QuarantineDigest message) {
    if (message.digest() == quarantine.digest()) {
      return;
    }
    announceTo(from);
    if (!message.isResponse()) {
      transport.accept(from, new SchedulingMessage.QuarantineDigest(quarantine.digest(), true));
    }
  }

  private void announceTo(String address) {
    for (RequestFingerprint request : quarantine.newest(MAX_ANNOUNCEMENTS)) {
      transport.accept(address, new SchedulingMessage.RequestQuarantined(request));
    }
  }

  /** Sends what this host knows to a host that has started or is reachable again. */
  void memberReturned(String address) {
    List.copyOf(ownReports).forEach(report -> transport.accept(address, report));
    announceTo(address);
  }

  /** Compares the quarantined requests with another host's. */
  void compareWith(String address) {
    transport.accept(address, new SchedulingMessage.QuarantineDigest(quarantine.digest(), false));
  }
}
