package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.ChangeCause;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.StateUpdate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Table of the known members by address, without this process.
 *
 * <p>An update takes effect only if it supersedes what is known, see {@link Member#supersedes}.
 * Each change is reported to the listener and queued for dissemination to other members.
 */
public final class MemberTable {

  private final MembershipSettings settings;
  private final UpdateQueue queue;
  private final Consumer<MemberChange> listener;
  private final Map<String, MemberEntry> byAddress = new LinkedHashMap<>();
  private final Map<Long, MemberEntry> byShortId = new LinkedHashMap<>();
  private final Map<Long, MemberEntry> suspects = new LinkedHashMap<>();
  private @Nullable List<Member> live = List.of();
  private int liveCount;

  /**
   * Creates an empty table.
   *
   * @param settings settings
   * @param queue queue for updates to be disseminated
   * @param listener receives the changes
   */
  public MemberTable(
      MembershipSettings settings, UpdateQueue queue, Consumer<MemberChange> listener) {
    this.settings = settings;
    this.queue = queue;
    this.listener = listener;
  }

  /** Returns the entry of an address, or null. */
  public @Nullable MemberEntry findByAddress(String address) {
    return byAddress.get(address);
  }

  /** Returns the entry of an incarnation, or null. */
  public @Nullable MemberEntry findByShortId(long shortId) {
    return byShortId.get(shortId);
  }

  /** Returns all entries, including those of dead members. */
  public Collection<MemberEntry> entries() {
    return byAddress.values();
  }

  /** Returns an immutable list of the live members. */
  public List<Member> live() {
    List<Member> cached = live;
    if (cached == null) {
      List<Member> members = new ArrayList<>(liveCount);
      for (MemberEntry entry : byAddress.values()) {
        if (entry.member().state().isLive()) {
          members.add(entry.member());
        }
      }
      cached = List.copyOf(members);
      live = cached;
    }
    return cached;
  }

  /** Returns the number of live members. */
  public int liveCount() {
    return liveCount;
  }

  /**
   * Merges a full member description; unknown members that are dead or have left are ignored.
   *
   * @param member the member
   * @param disseminate whether this process disseminates the member if it is new
   * @param now current time
   * @return whether the address is new
   */
  public boolean mergeMember(Member member, boolean disseminate, long now) {
    MemberEntry entry = byAddress.get(member.address());
    if (entry == null) {
      return member.state().isLive() && add(member, disseminate, now);
    }
    if (!member.supersedes(entry.member())) {
      updateConfigurationOffset(entry, member.shortId(), member.configurationOffset());
      if (member.generation() == entry.member().generation()) {
        queue.noteReceived(member.shortId());
      }
      return false;
    }
    if (!member.incarnation().equals(entry.member().incarnation())) {
      replaceIncarnation(entry, member, now);
      return false;
    }
    transition(entry, member, 0, now);
    return false;
  }

  private boolean add(Member member, boolean disseminate, long now) {
    MemberEntry entry = new MemberEntry(member, now);
    byAddress.put(member.address(), entry);
    byShortId.put(member.shortId(), entry);
    join(entry, member, disseminate, now);
    return true;
  }

  private void join(MemberEntry entry, Member member, boolean disseminate, long now) {
    live = null;
    liveCount++;
    if (disseminate) {
      queue.offerMember(member);
    }
    if (member.state() == MemberState.SUSPECT) {
      startSuspicion(entry, 0, now);
    }
    report(entry, null, ChangeCause.JOINED);
  }

  private void replaceIncarnation(MemberEntry entry, Member member, long now) {
    supersede(entry, now);
    byShortId.remove(entry.member().shortId());
    byShortId.put(member.shortId(), entry);
    entry.replace(member, now);
    if (member.state().isLive()) {
      join(entry, member, true, now);
    }
  }

  private void supersede(MemberEntry entry, long now) {
    Member old = entry.member();
    if (!old.state().isLive()) {
      return;
    }
    stopSuspicion(entry);
    setMember(entry, old.with(MemberState.DEAD, old.generation()), now);
    report(entry, old.state(), ChangeCause.SUPERSEDED);
  }

  /**
   * Merges a state update.
   *
   * @return whether the member is known
   */
  public boolean apply(StateUpdate update, long now) {
    MemberEntry entry = byShortId.get(update.memberId());
    if (entry == null) {
      return false;
    }
    Member old = entry.member();
    boolean newer = update.generation() > old.generation();
    boolean same = update.generation() == old.generation();
    if (newer || (same && update.state().compareTo(old.state()) > 0)) {
      transition(entry, update.applyTo(old), update.suspector(), now);
    } else if (same && update.state() == MemberState.SUSPECT) {
      addSuspector(entry, update.suspector());
    }
    if (same && update.state() == old.state()) {
      queue.noteReceived(update.memberId());
    }
    return true;
  }

  private void addSuspector(MemberEntry entry, int suspector) {
    Suspicion suspicion = entry.suspicion();
    if (suspicion != null && suspicion.confirm(suspector)) {
      queue.offerState(entry.member(), suspector);
    }
  }

  private void transition(MemberEntry entry, Member member, int suspector, long now) {
    Member old = entry.member();
    if (member.state() == MemberState.DEAD && old.state().isLive()) {
      verifyDeath(entry, member, now);
      return;
    }
    if (member.state() == MemberState.SUSPECT) {
      suspect(entry, member, suspector, now);
      return;
    }
    stopSuspicion(entry);
    setMember(entry, member, now);
    queue.offerState(member, 0);
    if (member.state() != old.state()) {
      report(entry, old.state(), causeOf(member.state()));
    } else if (member.draining() != old.draining()) {
      report(entry, old.state(), ChangeCause.UPDATED);
    }
  }

  /**
   * Handles a report of a member's death as a suspicion with a short timeout, so that this process
   * probes the member once more before it declares it dead.
   */
  private void verifyDeath(MemberEntry entry, Member reported, long now) {
    Member known = entry.member();
    if (known.state() == MemberState.ALIVE || reported.generation() > known.generation()) {
      suspect(entry, reported.with(MemberState.SUSPECT, reported.generation()), 0, now);
    }
    Suspicion suspicion = entry.suspicion();
    if (suspicion != null) {
      suspicion.capDeadline(now + finalProbeNanos());
    }
  }

  private void declareDead(MemberEntry entry, long now) {
    Member old = entry.member();
    stopSuspicion(entry);
    setMember(entry, old.with(MemberState.DEAD, old.generation()), now);
    queue.offerState(entry.member(), 0);
    report(entry, old.state(), ChangeCause.TIMED_OUT);
  }

  private static ChangeCause causeOf(MemberState state) {
    return switch (state) {
      case ALIVE -> ChangeCause.REFUTED;
      case SUSPECT -> ChangeCause.SUSPECTED;
      case DEAD -> ChangeCause.TIMED_OUT;
      case LEFT -> ChangeCause.LEFT;
    };
  }

  private void suspect(MemberEntry entry, Member member, int suspector, long now) {
    MemberState old = entry.member().state();
    setMember(entry, member, now);
    startSuspicion(entry, suspector, now);
    queue.offerState(member, suspector);
    if (old != MemberState.SUSPECT) {
      report(entry, old, ChangeCause.SUSPECTED);
    }
  }

  private void startSuspicion(MemberEntry entry, int suspector, long now) {
    int expected = Math.min(settings.confirmations(), liveCount - 2);
    long min = settings.minSuspicionNanos();
    entry.setSuspicion(new Suspicion(min, settings.maxSuspicionNanos(), expected, suspector, now));
    suspects.put(entry.member().shortId(), entry);
  }

  private void stopSuspicion(MemberEntry entry) {
    entry.setSuspicion(null);
    suspects.remove(entry.member().shortId());
  }

  private void setMember(MemberEntry entry, Member member, long now) {
    boolean wasLive = entry.member().state().isLive();
    boolean isLive = member.state().isLive();
    if (wasLive != isLive) {
      liveCount += isLive ? 1 : -1;
    }
    entry.replace(member, now);
    live = null;
  }

  private void report(MemberEntry entry, @Nullable MemberState old, ChangeCause cause) {
    Member member = entry.member();
    listener.accept(new MemberChange(member, old, member.state(), cause));
  }

  /** Updates the configuration offset of a member; older offsets are ignored. */
  public void updateConfigurationOffset(MemberEntry entry, long shortId, long offset) {
    Member member = entry.member();
    if (member.shortId() == shortId && offset > member.configurationOffset()) {
      entry.replace(member.withConfigurationOffset(offset), entry.changedAt());
      live = null;
    }
  }

  /**
   * Declares suspects dead whose suspicion timeout has elapsed.
   *
   * @param now current time
   * @param finalProbe probes a suspect a last time, shortly before the timeout
   */
  public void expireSuspicions(long now, Consumer<Member> finalProbe) {
    for (MemberEntry entry : List.copyOf(suspects.values())) {
      Suspicion suspicion = entry.suspicion();
      if (suspicion == null || now - dueAt(suspicion) < 0) {
        continue;
      }
      Member member = entry.member();
      if (suspicion.isFinalProbeSent()) {
        declareDead(entry, now);
      } else {
        suspicion.finalProbeSent();
        finalProbe.accept(member);
      }
    }
  }

  private long dueAt(Suspicion suspicion) {
    long deadline = suspicion.deadline();
    return suspicion.isFinalProbeSent() ? deadline : deadline - finalProbeNanos();
  }

  private long finalProbeNanos() {
    return 2 * settings.pingTimeoutNanos();
  }

  /** Postpones all suspicion timeouts by the duration of a pause of this process. */
  public void postponeSuspicions(long nanos) {
    for (MemberEntry entry : suspects.values()) {
      Suspicion suspicion = entry.suspicion();
      if (suspicion != null) {
        suspicion.postpone(nanos);
      }
    }
  }

  /** Returns the time of the next action of a suspicion, at most the given time. */
  public long nextDeadline(long latest) {
    long next = latest;
    for (MemberEntry entry : suspects.values()) {
      Suspicion suspicion = entry.suspicion();
      if (suspicion != null && dueAt(suspicion) - next < 0) {
        next = dueAt(suspicion);
      }
    }
    return next;
  }

  /** Removes members that have been dead or left for the configured time. */
  public void reclaim(long now) {
    Iterator<MemberEntry> entries = byAddress.values().iterator();
    while (entries.hasNext()) {
      MemberEntry entry = entries.next();
      boolean old = now - entry.changedAt() >= settings.reclaimAfterNanos();
      if (old && !entry.member().state().isLive()) {
        entries.remove();
        byShortId.remove(entry.member().shortId());
      }
    }
  }
}
