package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.quarantine.CrashSuspects;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.quarantine.RequestQuarantine;
import io.samphiredyke.core.quarantine.RequestStanding;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds the requests that crash endpoints, together with the other hosts.
 *
 * <p>A host reports the crashes that it sees to all others, and each of them decides by itself from
 * all reports, so that the knowledge outlives any of them. Hosts that start are sent all reports
 * that still count. What is found is announced, stored by the archive, and compared with a random
 * host once a second, as messages can be lost. A host that receives a finding about a request that
 * was released responds with the release.
 */
public final class CrashWatch {

  /** Stores quarantined requests for hosts that start later. */
  @FunctionalInterface
  public interface Archive {

    /**
     * Called for each request that is quarantined, or released, or whose standing changed.
     *
     * @param isReporter whether this host has seen one of the crashes
     */
    void changed(RequestFingerprint request, boolean isReporter);
  }

  /** Reports that are sent again to a host that has started or comes back. */
  private static final int MAX_REPEATED_REPORTS = 64;

  /** Bound of the requests that are remembered as reported by this host. */
  private static final int MAX_REPORTED = 64;

  /** Announcements in response to a differing digest, the newest entries. */
  private static final int MAX_ANNOUNCEMENTS = 64;

  /** Longest time until a trial that another host may state. */
  private static final long MAX_TRIAL_MILLIS = Duration.ofMinutes(1).toMillis();

  private static final Duration SETTLE = Duration.ofNanos(CrashSuspects.SETTLE_NANOS);

  private final ControlEventLoop loop;
  private final PoolScheduler scheduler;
  private final BiConsumer<String, SchedulingMessage> transport;
  private final Consumer<SchedulingMessage> broadcast;
  private final DecisionLog log;
  private final CrashSuspects suspects = new CrashSuspects();
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final Set<RequestFingerprint> reported = new LinkedHashSet<>();
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
    return suspects.mustBeIsolated(request) || quarantine.contains(request);
  }

  /** Returns the refusal of a request that must not be sent to endpoints now, else null. */
  public @Nullable SlotRefusal refusalOf(RequestFingerprint request) {
    long now = loop.nanoTime();
    return quarantine.mustRefuse(request, now)
        ? new SlotRefusal(
            SlotRefusal.Reason.REQUEST_QUARANTINED, quarantine.retryAfterMillis(request, now))
        : null;
  }

  /**
   * Begins a trial of a request that is about to be sent, if it is quarantined.
   *
   * @return whether it is a trial
   */
  public boolean tryTrial(RequestFingerprint request) {
    if (!quarantine.contains(request)) {
      return false;
    }
    RequestStanding tried = quarantine.beginTrial(request, loop.nanoTime());
    log.event("request_trial", "request", request, "strikes", tried.strikes());
    broadcast.accept(announcement(request, tried));
    return true;
  }

  /**
   * Records that a trial of this host ended with a crash.
   *
   * @param requestId id of the caller's attempt, for the log
   */
  public void trialFailed(RequestFingerprint request, String requestId) {
    if (quarantine.strike(request, loop.nanoTime())) {
      changed(request, requestId);
      announce(request, broadcast);
    }
  }

  /** Records that a trial of this host has shown nothing. */
  public void endTrial(RequestFingerprint request) {
    quarantine.endTrial(request, loop.nanoTime());
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
   * @return whether the request may have caused it
   */
  public boolean crashed(
      EndpointRecord endpoint, RequestFingerprint request, long sentAt, String requestId) {
    String instance = instance(endpoint);
    if (suspects.hadCrashedBefore(instance, sentAt)) {
      return false;
    }
    SchedulingMessage.EndpointCrashed report =
        new SchedulingMessage.EndpointCrashed(instance, request);
    if (!observe(report, requestId)) {
      return true;
    }
    reported.add(request);
    if (reported.size() > MAX_REPORTED) {
      reported.remove(reported.iterator().next());
    }
    broadcast.accept(report);
    return true;
  }

  private boolean observe(SchedulingMessage.EndpointCrashed report, String source) {
    if (quarantine.contains(report.request())) {
      suspects.explain(report.request(), report.instance(), loop.nanoTime());
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
      if (quarantine.add(request, suspects.strikesOf(request), loop.nanoTime())) {
        changed(request, "crashes");
        announce(request, broadcast);
      }
    }
  }

  /**
   * Quarantines a request that another host found.
   *
   * @param standing what is known about it, from an earlier build at least that it was found
   * @param source host that found it, or where it was read, for the log
   */
  public void add(RequestFingerprint request, RequestStanding standing, String source) {
    if (quarantine.merge(request, standing)) {
      changed(request, source);
    }
  }

  private void changed(RequestFingerprint request, String source) {
    RequestStanding standing = quarantine.find(request);
    suspects.explain(request);
    log.event(
        "request_quarantined",
        "request",
        request,
        "strikes",
        standing == null ? 0 : standing.strikes(),
        "source",
        source);
    scheduler.refuseIsolated(request, quarantine.retryAfterMillis(request, loop.nanoTime()));
    archive.changed(request, reported.contains(request));
  }

  /**
   * Records that a request of this host was served.
   *
   * @param isSuccess whether the endpoint answered it without an error
   * @return whether it was quarantined and is released
   */
  public boolean served(RequestFingerprint request, boolean isSuccess) {
    if (suspects.served(request)) {
      log.event("request_cleared", "request", request, "source", "served");
      broadcast.accept(new SchedulingMessage.RequestServed(request));
    }
    int generation = isSuccess ? quarantine.release(request) : 0;
    if (generation == 0) {
      return false;
    }
    released(request, "served");
    broadcast.accept(new SchedulingMessage.RequestReleased(request, generation));
    archive.changed(request, true);
    return true;
  }

  private void released(RequestFingerprint request, String source) {
    log.event("request_released", "request", request, "source", source);
    suspects.served(request);
    loop.schedule(this::decide, SETTLE);
  }

  private void receivedReleased(String from, SchedulingMessage.RequestReleased message) {
    if (quarantine.release(message.request(), message.generation())) {
      released(message.request(), from);
      archive.changed(message.request(), reported.contains(message.request()));
    }
  }

  private void receivedQuarantined(String from, SchedulingMessage.RequestQuarantined message) {
    RequestFingerprint request = message.request();
    if (quarantine.isReleased(request, message.generation())) {
      int generation = quarantine.releasedGeneration(request);
      transport.accept(from, new SchedulingMessage.RequestReleased(request, generation));
      return;
    }
    long trialInMillis = Math.max(0, Math.min(MAX_TRIAL_MILLIS, message.trialInMillis()));
    long dueAt = loop.nanoTime() + TimeUnit.MILLISECONDS.toNanos(trialInMillis);
    add(request, new RequestStanding(message.generation(), message.strikes(), dueAt), from);
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
      receivedQuarantined(from, quarantined);
    } else if (message instanceof SchedulingMessage.RequestReleased released) {
      receivedReleased(from, released);
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
      announce(request, message -> transport.accept(address, message));
    }
  }

  private void announce(RequestFingerprint request, Consumer<SchedulingMessage> receivers) {
    RequestStanding standing = quarantine.find(request);
    if (standing != null) {
      receivers.accept(announcement(request, standing));
    }
  }

  private SchedulingMessage announcement(RequestFingerprint request, RequestStanding standing) {
    long millis = TimeUnit.NANOSECONDS.toMillis(standing.dueAt() - loop.nanoTime());
    return new SchedulingMessage.RequestQuarantined(
        request, standing.generation(), standing.strikes(), Math.max(0, millis));
  }

  /**
   * Sends what this host knows to a host that has started or is reachable again, also the reports
   * of other hosts, which may be gone.
   */
  void memberReturned(String address) {
    for (CrashSuspects.Suspicion each : suspects.suspicions(MAX_REPEATED_REPORTS)) {
      transport.accept(
          address, new SchedulingMessage.EndpointCrashed(each.instance(), each.request()));
    }
    announceTo(address);
  }

  /** Compares the quarantined requests with another host's. */
  void compareWith(String address) {
    transport.accept(address, new SchedulingMessage.QuarantineDigest(quarantine.digest(), false));
  }
}
