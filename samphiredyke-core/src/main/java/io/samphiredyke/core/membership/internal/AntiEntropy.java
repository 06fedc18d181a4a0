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
 * Compares the whole view with others and exchanges the buckets that differ.
 *
 * <p>It finds what piggybacked updates missed; the size of an exchange is bounded, and what did not
 * fit is found by a later one.
 */
public final class AntiEntropy {

  private static final int MAX_VERDICTS = 4;
  private static final int HURRY = 5;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final Outbox outbox;
  private final RandomGenerator random;
  private boolean differing;

  /** Creates the exchange over the parts of one membership. */
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

  /** Time until the next comparison; shorter after views differed. */
  public long nextInterval() {
    long mean = settings.syncIntervalNanos();
    if (differing) {
      mean /= HURRY;
    }
    return mean / 2 + random.nextLong(mean);
  }

  /** Starts a comparison with a random live member. */
  public void compareWithRandom() {
    differing = false;
    for (Member partner : Sampling.choose(table.live(), 1, random)) {
      introduce(partner.address(), null);
    }
  }

  /**
   * Introduces this process to an address and compares the views.
   *
   * @param address the address
   * @param rival what this process believes to be at the address, if that may be outdated
   */
  public void introduce(String address, @Nullable Member rival) {
    GossipUpdates updates =
        rival == null ? GossipUpdates.NONE : new GossipUpdates(List.of(rival), List.of());
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

  /** Answers a comparison; equal views need no answer. */
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

  /** Takes the partner's buckets, which were merged already, and returns what it lacks. */
  public void received(GossipMessage.SyncReply reply) {
    differing |= reply.purpose() == Purpose.DIFFERENCE;
    Map<Long, Member> theirs = new HashMap<>();
    for (Member member : reply.updates().members()) {
      theirs.put(member.shortId(), member);
    }
    List<StateUpdate> verdicts = verdictsOn(reply.updates().members());
    List<Member> lacking = new ArrayList<>();
    if (reply.purpose() == Purpose.DIFFERENCE) {
      lacking.addAll(missingFrom(theirs, reply.buckets()));
    }
    if (!lacking.isEmpty() || !verdicts.isEmpty()) {
      Batch batch = new Batch(reply.header().address(), Purpose.RETURN, settings.syncMessages());
      batch.states.addAll(verdicts);
      batch.add(0, lacking);
      batch.flush();
    }
  }

  /** Members of the buckets that the partner does not have, or has in an older version. */
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
   * Verdicts of this process on members that the partner sees alive.
   *
   * <p>They make the partner check these members. Only a few are told, since after a partition all
   * members of the other side would be among them, who refute the verdict on contact.
   */
  private List<StateUpdate> verdictsOn(List<Member> members) {
    List<StateUpdate> verdicts = new ArrayList<>();
    for (Member member : members) {
      MemberEntry entry = table.find(member.shortId());
      if (entry == null || entry.member().state().isLive() || !member.state().isLive()) {
        continue;
      }
      if (entry.member().state() == MemberState.DEAD) {
        outbox.pingUnanswering(entry.member(), 0);
      }
      verdicts.add(StateUpdate.of(entry.member(), 0));
      if (verdicts.size() >= MAX_VERDICTS) {
        break;
      }
    }
    return verdicts;
  }

  /** Messages of bounded size that carry members of buckets to one partner. */
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

    /** Adds the members of a bucket, which all travel in one message. */
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
