package io.samphiredyke.core.pool;

import io.samphiredyke.core.rollout.VersionFilter;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Endpoints of a service, ordered by the expected cost of an average request.
 *
 * <p>Load pattern: hundreds of endpoints with a request every few milliseconds. A change of one
 * endpoint costs the logarithm of their number, and a choice compares only the cheapest few and
 * those that probably hold the prompt in their cache.
 */
final class EndpointIndex {

  private final RandomGenerator random;
  private final RequesterPaths paths;

  /** Stands for all requesters that reach no endpoint, for which the same ones are free. */
  private static final String ALL_LOST = "";

  /** Requesters for which no endpoint was free, since slots were last freed. */
  private final Set<String> withoutSlot = new HashSet<>();

  private final Map<String, IndexedEndpoint> entries = new HashMap<>();
  private final FreeEndpoints free = new FreeEndpoints();
  private final FreeEndpoints freeIgnoringPause = new FreeEndpoints();
  private final VersionCounts versions = new VersionCounts();
  private final TreeSet<IndexedEndpoint> withheld = new TreeSet<>(IndexedEndpoint.BY_COST);
  private final TreeSet<IndexedEndpoint> paused = new TreeSet<>(IndexedEndpoint.BY_PAUSE_END);
  private final LimitedEndpoints limited = new LimitedEndpoints();
  private final TreeSet<IndexedEndpoint> throttled = new TreeSet<>(IndexedEndpoint.BY_NEXT_GRANT);
  private final PromptHolders holders = new PromptHolders();
  private WorkEstimate averageWork = WorkEstimate.PLAIN;
  private double capacityShare = 1;
  private VersionFilter filter = VersionFilter.ADMIT_ALL;
  private @Nullable IndexedEndpoint guaranteed;
  private int slots;
  private int pausedSlots;
  private long added;
  private long pausesEndedUntil = Long.MIN_VALUE;

  EndpointIndex(RandomGenerator random, RequesterPaths paths) {
    this.random = random;
    this.paths = paths;
  }

  int size() {
    return entries.size();
  }

  /**
   * Returns how many slots, in use or free, the endpoints that get requests now can keep in use. An
   * endpoint with a rate limit counts with the fraction of its slots at which the limit binds.
   *
   * @param meanHoldMillis mean time for which a request holds a slot, 0 if unknown
   */
  double slots(double meanHoldMillis) {
    boolean ignoresPauses = ignoresPauses();
    int unlimited = ignoresPauses ? slots : slots - pausedSlots;
    return limited.slots(unlimited, meanHoldMillis, ignoresPauses);
  }

  /** Returns whether there is an endpoint that a request may be sent to, now or later. */
  boolean hasEligible(SlotRequest request) {
    return request.excluded().size() < entries.size()
        || !request.excluded().containsAll(entries.keySet());
  }

  @Nullable EndpointLoad find(String id) {
    IndexedEndpoint entry = entries.get(id);
    return entry == null ? null : entry.load;
  }

  void add(EndpointLoad load) {
    IndexedEndpoint entry = new IndexedEndpoint(load, added++);
    load.setShare(capacityShare);
    entries.put(load.endpoint().id(), entry);
    entry.version = load.endpoint().version();
    versions.add(entry.version);
    insert(entry);
    chooseGuaranteed();
  }

  @Nullable EndpointLoad remove(String id) {
    IndexedEndpoint entry = entries.remove(id);
    if (entry == null) {
      return null;
    }
    detach(entry);
    versions.remove(entry.version);
    chooseGuaranteed();
    return entry.load;
  }

  void setCapacityShare(double updated) {
    capacityShare = updated;
    entries.values().forEach(entry -> entry.load.setShare(updated));
    reindexAll();
  }

  /** Returns the number of endpoints of a software version. */
  int endpointsOf(String version) {
    return versions.of(version);
  }

  /** Returns the number of requests that run at endpoints of other versions than the given one. */
  int runningExcept(String version) {
    int running = 0;
    for (IndexedEndpoint entry : entries.values()) {
      running += entry.version.equals(version) ? 0 : entry.load.runningCount();
    }
    return running;
  }

  /** Sets the versions whose endpoints get requests. */
  void setFilter(VersionFilter updated) {
    if (updated.equals(filter)) {
      return;
    }
    VersionFilter previous = filter;
    filter = updated;
    withoutSlot.clear();
    for (IndexedEndpoint entry : entries.values()) {
      if (previous.admits(entry.version) != updated.admits(entry.version)) {
        reindex(entry);
      }
    }
  }

  /** Sets the work by which endpoints are ordered. */
  void setAverageWork(WorkEstimate work) {
    averageWork = work;
    reindexAll();
  }

  private void reindexAll() {
    entries.values().forEach(this::reindex);
  }

  /** Applies a change to an endpoint and moves it to its new position. */
  void change(EndpointLoad load, Runnable change) {
    IndexedEndpoint entry = entries.get(load.endpoint().id());
    if (entry == null || entry.load != load) {
      change.run();
      return;
    }
    detach(entry);
    change.run();
    updateVersion(entry);
    insert(entry);
  }

  /** An endpoint may restart with the same id and another version. */
  private void updateVersion(IndexedEndpoint entry) {
    String version = entry.load.endpoint().version();
    if (!version.equals(entry.version)) {
      versions.remove(entry.version);
      versions.add(version);
      entry.version = version;
    }
  }

  private void reindex(IndexedEndpoint entry) {
    detach(entry);
    insert(entry);
  }

  private void detach(IndexedEndpoint entry) {
    if (!limited.remove(entry)) {
      slots -= entry.slots;
      pausedSlots -= entry.isPaused ? entry.slots : 0;
    }
    entry.slots = 0;
    if (entry.isFree) {
      free.remove(entry);
    }
    if (entry.isFreeIgnoringPause) {
      freeIgnoringPause.remove(entry);
    }
    if (entry.isPaused) {
      paused.remove(entry);
    }
    if (entry.isThrottled) {
      throttled.remove(entry);
    }
    if (entry.isWithheld) {
      withheld.remove(entry);
    }
    entry.isProbed = false;
    entry.isWithheld = false;
    entry.isFree = false;
    entry.isFreeIgnoringPause = false;
    entry.isPaused = false;
    entry.isThrottled = false;
  }

  private void insert(IndexedEndpoint entry) {
    entry.isProbed = entry.load.runsProbe();
    // The random part spreads requests over endpoints of equal cost.
    entry.cost = entry.load.expectedCostMillis(averageWork) + random.nextDouble();
    entry.isWithheld = !filter.admits(entry.version);
    if (entry.isWithheld) {
      withheld.add(entry);
      return;
    }
    entry.isPaused = entry.load.pausedUntil() > pausesEndedUntil;
    entry.isThrottled = entry.load.nextGrantAt() > pausesEndedUntil;
    entry.isFree = !entry.isThrottled && !entry.isPaused && freeSlots(entry, false) > 0;
    entry.isFreeIgnoringPause = !entry.isThrottled && freeSlots(entry, true) > 0;
    entry.slots = entry.load.usableSlots(capacityShare);
    if (entry.load.rateLimit().isLimited()) {
      limited.add(entry);
    } else {
      slots += entry.slots;
      pausedSlots += entry.isPaused ? entry.slots : 0;
    }
    if (entry.isFree) {
      free.add(entry);
    }
    if (entry.isFreeIgnoringPause) {
      freeIgnoringPause.add(entry);
    }
    if (entry.isPaused) {
      paused.add(entry);
    }
    if (entry.isThrottled) {
      throttled.add(entry);
    }
  }

  /**
   * Returns the endpoints whose pause has ended, or whose limit permits a grant, to the free ones.
   */
  void endPauses(long now) {
    pausesEndedUntil = now;
    withoutSlot.clear();
    while (!paused.isEmpty() && paused.first().load.pausedUntil() <= now) {
      reindex(paused.first());
    }
    while (!throttled.isEmpty() && throttled.first().load.nextGrantAt() <= now) {
      reindex(throttled.first());
    }
  }

  /** Returns the free slots within the capacity share, which is at least one slot per service. */
  private int freeSlots(IndexedEndpoint entry, boolean ignorePause) {
    int freeSlots = entry.load.freeSlots(ignorePause, capacityShare);
    boolean isGuaranteed =
        capacityShare < 1 && entry.load.runningCount() == 0 && entry == guaranteed;
    return isGuaranteed ? Math.max(1, freeSlots) : freeSlots;
  }

  private void chooseGuaranteed() {
    IndexedEndpoint old = guaranteed;
    IndexedEndpoint best = null;
    for (IndexedEndpoint entry : entries.values()) {
      if (best == null || entry.load.roundingOffset() > best.load.roundingOffset()) {
        best = entry;
      }
    }
    guaranteed = best;
    if (old != best) {
      reindexIfPresent(old);
      reindexIfPresent(best);
    }
  }

  private void reindexIfPresent(@Nullable IndexedEndpoint entry) {
    if (entry != null && entries.get(entry.load.endpoint().id()) == entry) {
      reindex(entry);
    }
  }

  /**
   * Returns whether pauses after failures are ignored. When at least half of the endpoints fail,
   * the cause is probably common to them, and pausing them would make the service unavailable.
   */
  private boolean ignoresPauses() {
    return paused.size() * 2 >= entries.size() - withheld.size();
  }

  /** Returns the endpoints with a free slot. */
  private FreeEndpoints usable() {
    return ignoresPauses() ? freeIgnoringPause : free;
  }

  boolean hasFreeSlot() {
    return !usable().isEmpty();
  }

  /** Returns the endpoint with a free slot that is expected to serve a request soonest, or null. */
  @Nullable EndpointLoad cheapest(SlotRequest request) {
    boolean isLost = paths.isLost(request.requester());
    String group = isLost ? ALL_LOST : request.requester();
    EndpointLoad best = withoutSlot.contains(group) ? null : cheapestAdmitted(request, isLost);
    if (best == null && request.excluded().isEmpty() && !request.isIsolated()) {
      withoutSlot.add(group);
    }
    if (best == null && !withheld.isEmpty() && filter.admitsResumptions()) {
      return withheldFor(request);
    }
    return best;
  }

  private @Nullable EndpointLoad cheapestAdmitted(SlotRequest request, boolean isLost) {
    EndpointLoad best = choose(request, isLost, ignoresPauses());
    if (best == null && (isLost || isPausedEverywhere(request.requester()))) {
      best = choose(request, isLost, true);
    }
    return best;
  }

  private @Nullable EndpointLoad choose(
      SlotRequest request, boolean isLost, boolean ignoresPauses) {
    FreeEndpoints usable = usable();
    EndpointChoice choice = new EndpointChoice(request, isLost, ignoresPauses, pausesEndedUntil);
    choice.compareCheapest(isLost ? usable.unprobed() : usable);
    for (String id : holders.of(request.estimate())) {
      IndexedEndpoint holder = entries.get(id);
      if (holder != null && usable.contains(holder) && !choice.bars(holder)) {
        choice.compare(holder);
      }
    }
    return choice.best();
  }

  /** Returns whether all endpoints are paused for a requester because of its own failures. */
  private boolean isPausedEverywhere(String requester) {
    for (IndexedEndpoint entry : entries.values()) {
      if (!entry.isWithheld && !entry.load.failures().isPausedFor(requester, pausesEndedUntil)) {
        return false;
      }
    }
    return true;
  }

  /** Returns a withheld endpoint with a free slot for a request that no other one may get. */
  private @Nullable EndpointLoad withheldFor(SlotRequest request) {
    for (IndexedEndpoint entry : entries.values()) {
      if (!entry.isWithheld && !request.excluded().contains(entry.load.endpoint().id())) {
        return null;
      }
    }
    boolean isLost = paths.isLost(request.requester());
    EndpointChoice choice = new EndpointChoice(request, isLost, isLost, pausesEndedUntil);
    for (IndexedEndpoint entry : withheld) {
      boolean mayGrant =
          entry.load.pausedUntil() <= pausesEndedUntil
              && entry.load.nextGrantAt() <= pausesEndedUntil;
      if (mayGrant && !choice.bars(entry) && freeSlots(entry, false) > 0) {
        return entry.load;
      }
    }
    return null;
  }

  /** Returns whether no endpoint is free for a requester that reaches none. */
  boolean hasNoneForLost() {
    return withheld.isEmpty() && (usable().unprobed().isEmpty() || withoutSlot.contains(ALL_LOST));
  }

  /** Returns whether a grant to a requester tests an endpoint that it may not reach. */
  boolean isProbe(EndpointLoad load, String requester) {
    return paths.isLost(requester) || load.failures().isFailingFor(requester);
  }

  /** Forgets a requester that is gone. */
  void forget(String requester) {
    entries.values().forEach(entry -> entry.load.failures().forget(requester));
  }

  /** Records that an endpoint has read a prompt. */
  void promptSent(EndpointLoad load, WorkEstimate work) {
    holders.add(load.endpoint().id(), work);
  }
}
