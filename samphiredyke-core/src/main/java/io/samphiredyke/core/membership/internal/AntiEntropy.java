package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.GossipMessage.SyncReply.Purpose;
import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.StateUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Anti-entropy: compares the whole view with other members and exchanges the buckets that differ.
 *
 * <p>It repairs differences that piggybacked updates left. The size of an exchange is bounded;
 * remaining differences are found by a later one.
 */
public final class AntiEntropy {

  private static final int MAX_DEATH_REPORTS = 4;
  private static final int DIVERGED_INTERVAL_DIVISOR = 5;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final Outbox outbox;
  private final RandomGenerator random;
  private boolean viewsDiffered;

  /** Creates the anti-entropy component of one membership. */
  public AntiEntropy(
      MembershipSettings settings,
      LocalMember self,
      MemberTable table,
      Outbox outbox,
      RandomGenerator random) {
    this.settings = settings;
    this.self = self;
    this.table = table;
    this.outbox = outbox;
    this.random = random;
  }

  /** Returns the time until the next comparison, which is shorter after views have differed. */
  public long nextInterval() {
    long mean = settings.syncIntervalNanos();
    if (viewsDiffered) {
      mean /= DIVERGED_INTERVAL_DIVISOR;
    }
    return mean / 2 + random.nextLong(mean);
  }

  /** Starts a comparison with a random live member. */
  public void compareWithRandom() {
    viewsDiffered = false;
    for (Member partner : Sampling.choose(table.live(), 1, random)) {
      compareWith(partner.address(), null);
    }
  }

  /**
   * Introduces this process to the process at an address and compares the views.
   *
   * @param address the address
   * @param known the member known at the address, if that knowledge may be outdated
   */
  public void compareWith(String address, @Nullable Member known) {
    GossipUpdates updates =
        known == null ? GossipUpdates.NONE : new GossipUpdates(List.of(known), List.of());
    boolean joining = table.liveCount() == 0;
    List<Integer> digests = ViewDigest.of(view());
    outbox.send(
        address,
        new GossipMessage.SyncRequest(self.header(), self.member(), joining, digests, updates));
  }

  private List<Member> view() {
    List<Member> members = new ArrayList<>(table.live());
    if (!self.hasLeft()) {
      members.add(self.member());
    }
    return members;
  }

  /** Replies to a comparison, unless the views are equal. */
  public void received(GossipMessage.SyncRequest request) {
    List<Member> view = view();
    int buckets = ViewDigest.differing(ViewDigest.of(view), request.digests());
    if (buckets == 0) {
      return;
    }
    boolean joining = request.joining();
    int limit = joining ? Integer.MAX_VALUE : settings.syncMessages();
    Purpose purpose = joining ? Purpose.VIEW : Purpose.DIFFERENCE;
    sendBuckets(new Batch(request.header().address(), purpose, limit), view, buckets);
  }

  private void sendBuckets(Batch batch, List<Member> view, int buckets) {
    List<List<Member>> members = split(view, buckets);
    int first = random.nextInt(ViewDigest.BUCKETS);
    for (int i = 0; i < ViewDigest.BUCKETS && !batch.isFull(); i++) {
      int bucket = (first + i) % ViewDigest.BUCKETS;
      if ((buckets & 1 << bucket) != 0) {
        batch.add(bucket, members.get(bucket));
      }
    }
    batch.flush();
  }

  private static List<List<Member>> split(List<Member> view, int buckets) {
    List<List<Member>> members = new ArrayList<>(ViewDigest.BUCKETS);
    for (int i = 0; i < ViewDigest.BUCKETS; i++) {
      members.add(new ArrayList<>());
    }
    for (Member member : view) {
      int bucket = ViewDigest.bucketOf(member);
      if ((buckets & 1 << bucket) != 0) {
        members.get(bucket).add(member);
      }
    }
    return members;
  }

  /** Handles the partner's buckets, which are already merged, and sends what the partner lacks. */
  public void received(GossipMessage.SyncReply reply) {
    viewsDiffered |= reply.purpose() == Purpose.DIFFERENCE;
    Map<Long, Member> theirs = new HashMap<>();
    for (Member member : reply.updates().members()) {
      theirs.put(member.shortId(), member);
    }
    List<StateUpdate> deathReports = deathReportsFor(reply.updates().members());
    List<Member> lacking = new ArrayList<>();
    if (reply.purpose() == Purpose.DIFFERENCE) {
      lacking.addAll(missingFrom(theirs, reply.buckets()));
    }
    if (!lacking.isEmpty() || !deathReports.isEmpty()) {
      Batch batch = new Batch(reply.header().address(), Purpose.RETURN, settings.syncMessages());
      batch.states.addAll(deathReports);
      batch.add(0, lacking);
      batch.flush();
    }
  }

  /** Returns the members of the buckets that the partner lacks or knows in an older generation. */
  private List<Member> missingFrom(Map<Long, Member> theirs, int buckets) {
    List<Member> missing = new ArrayList<>();
    for (Member member : view()) {
      if ((buckets & 1 << ViewDigest.bucketOf(member)) == 0) {
        continue;
      }
      Member their = theirs.get(member.shortId());
      if (their == null || their.generation() < member.generation()) {
        missing.add(member);
      }
    }
    return missing;
  }

  /**
   * Returns the states of members that the partner sees as live and this process as dead or left.
   *
   * <p>They make the partner probe these members. Their number is limited, because after a network
   * partition they would include all members of the other side, which refute them on contact.
   */
  private List<StateUpdate> deathReportsFor(List<Member> members) {
    List<StateUpdate> reports = new ArrayList<>();
    for (Member member : members) {
      MemberEntry entry = table.findByShortId(member.shortId());
      if (entry == null || entry.member().state().isLive() || !member.state().isLive()) {
        continue;
      }
      if (entry.member().state() == MemberState.DEAD) {
        outbox.pingUnresponsive(entry.member(), 0);
      }
      reports.add(StateUpdate.of(entry.member(), 0));
      if (reports.size() >= MAX_DEATH_REPORTS) {
        break;
      }
    }
    return reports;
  }

  /** Packs the members of buckets into a limited number of messages of bounded size. */
  private final class Batch {

    private final String address;
    private final Purpose purpose;
    private final int limit;
    private final List<Member> members = new ArrayList<>();
    private final List<StateUpdate> states = new ArrayList<>();
    private int buckets;
    private int bytes;
    private int sent;

    Batch(String address, Purpose purpose, int limit) {
      this.address = address;
      this.purpose = purpose;
      this.limit = limit;
    }

    boolean isFull() {
      return sent >= limit;
    }

    /** Adds the members of a bucket, which are all sent in the same message. */
    void add(int bucket, List<Member> added) {
      int size = 0;
      for (Member member : added) {
        size += member.encodedSize();
      }
      if (bytes > 0 && bytes + size > settings.syncMessageBytes()) {
        send();
      }
      if (isFull()) {
        return;
      }
      members.addAll(added);
      buckets |= 1 << bucket;
      bytes += size;
    }

    void flush() {
      if (!isFull()) {
        send();
      }
    }

    private void send() {
      if (sent == 0 && purpose != Purpose.RETURN) {
        members.add(self.member());
      }
      GossipUpdates updates = new GossipUpdates(members, states);
      outbox.send(address, new GossipMessage.SyncReply(self.header(), buckets, purpose, updates));
      members.clear();
      states.clear();
      buckets = 0;
      bytes = 0;
      sent++;
    }
  }
}
