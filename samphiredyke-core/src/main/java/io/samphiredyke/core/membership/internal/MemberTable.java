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
 * Known members by address, without the own one.
 *
 * <p>An update takes effect only if it is newer than what is known, see {@link Member#supersedes};
 * each effect is reported to the listener and queued for the other members.
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
   * @param queue receives what other members should learn
   * @param listener receives changes
   */
  public MemberTable(
      MembershipSettings settings, UpdateQueue queue, Consumer<MemberChange> listener) {
    this.settings = settings;
    this.queue = queue;
    this.listener = listener;
  }

  /** Finds what is known of an address. */
  public @Nullable MemberEntry at(String address) {
    return byAddress.get(address);
  }

  /** Finds an incarnation. */
  public @Nullable MemberEntry find(long shortId) {
    return byShortId.get(shortId);
  }

  /** All entries, dead ones included. */
  public Collection<MemberEntry> entries() {
    return byAddress.values();
  }

  /** Live members; an immutable list that stays as it is. */
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

  /** Number of live members. */
  public int liveCount() {
    return liveCount;
  }

  /**
   * Merges a whole member; dead ones that nothing is known of are ignored.
   *
   * @param member the member
   * @param spread whether others should learn of a new member from this process
   * @param now the time
   * @return whether the address is new
   */
  public boolean learn(Member member, boolean spread, long now) {
    MemberEntry entry = byAddress.get(member.address());
    if (entry == null) {
      return member.state().isLive() && add(member, spread, now);
    }
    if (!member.supersedes(entry.member())) {
      noteOffset(entry, member.shortId(), member.configurationOffset());
      if (member.generation() == entry.member().generation()) {
        queue.heard(member.shortId());
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

  private boolean add(Member member, boolean spread, long now) {
    MemberEntry entry = new MemberEntry(member, now);
    byAddress.put(member.address(), entry);
    byShortId.put(member.shortId(), entry);
    join(entry, member, spread, now);
    return true;
  }

  private void join(MemberEntry entry, Member member, boolean spread, long now) {
    live = null;
    liveCount++;
    if (spread) {
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
   * Merges a change of state.
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
      confirm(entry, update.suspector());
    }
    if (same && update.state() == old.state()) {
      queue.heard(update.memberId());
    }
    return true;
  }

  private void confirm(MemberEntry entry, int accuser) {
    Suspicion suspicion = entry.suspicion();
    if (suspicion != null && suspicion.confirm(accuser)) {
      queue.offerState(entry.member(), accuser);
    }
  }

  private void transition(MemberEntry entry, Member member, int accuser, long now) {
    Member old = entry.member();
    if (member.state() == MemberState.DEAD && old.state().isLive()) {
      hurry(entry, member, now);
      return;
    }
    if (member.state() == MemberState.SUSPECT) {
      suspect(entry, member, accuser, now);
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

  /** Checks the verdict of others by asking the member once more before it counts. */
  private void hurry(MemberEntry entry, Member verdict, long now) {
    Member known = entry.member();
    if (known.state() == MemberState.ALIVE || verdict.generation() > known.generation()) {
      suspect(entry, verdict.with(MemberState.SUSPECT, verdict.generation()), 0, now);
    }
    Suspicion suspicion = entry.suspicion();
    if (suspicion != null) {
      suspicion.endBy(now + lastCheckNanos());
    }
  }

  private void die(MemberEntry entry, long now) {
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

  private void suspect(MemberEntry entry, Member member, int accuser, long now) {
    MemberState old = entry.member().state();
    setMember(entry, member, now);
    startSuspicion(entry, accuser, now);
    queue.offerState(member, accuser);
    if (old != MemberState.SUSPECT) {
      report(entry, old, ChangeCause.SUSPECTED);
    }
  }

  private void startSuspicion(MemberEntry entry, int accuser, long now) {
    int expected = Math.min(settings.confirmations(), liveCount - 2);
    long min = settings.minSuspicionNanos();
    entry.suspect(new Suspicion(min, settings.maxSuspicionNanos(), expected, accuser, now));
    suspects.put(entry.member().shortId(), entry);
  }

  private void stopSuspicion(MemberEntry entry) {
    entry.suspect(null);
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

  /** Notes the configuration offset of a member; older ones are ignored. */
  public void noteOffset(MemberEntry entry, long shortId, long offset) {
    Member member = entry.member();
    if (member.shortId() == shortId && offset > member.configurationOffset()) {
      entry.replace(member.withConfigurationOffset(offset), entry.changedAt());
      live = null;
    }
  }

  /**
   * Declares the suspects dead whose time is over.
   *
   * @param now the time
   * @param lastCheck asks a suspect a last time, shortly before the end
   */
  public void expireSuspicions(long now, Consumer<Member> lastCheck) {
    for (MemberEntry entry : List.copyOf(suspects.values())) {
      Suspicion suspicion = entry.suspicion();
      if (suspicion == null || now - dueAt(suspicion) < 0) {
        continue;
      }
      Member member = entry.member();
      if (suspicion.isChecked()) {
        die(entry, now);
      } else {
        suspicion.checked();
        lastCheck.accept(member);
      }
    }
  }

  private long dueAt(Suspicion suspicion) {
    long deadline = suspicion.deadline();
    return suspicion.isChecked() ? deadline : deadline - lastCheckNanos();
  }

  private long lastCheckNanos() {
    return 2 * settings.pingTimeoutNanos();
  }

  /** Moves all suspicions by a time in which this process did not run. */
  public void postponeSuspicions(long nanos) {
    for (MemberEntry entry : suspects.values()) {
      Suspicion suspicion = entry.suspicion();
      if (suspicion != null) {
        suspicion.postpone(nanos);
      }
    }
  }

  /** Next step of a suspicion, or the given time if that is earlier. */
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

  /** Forgets members that have been dead or gone for the configured time. */
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
