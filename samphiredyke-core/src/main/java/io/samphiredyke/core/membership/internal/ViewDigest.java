package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.Member;
import java.util.ArrayList;
import java.util.List;

/**
 * Digests of the live members by bucket, which are equal for equal views.
 *
 * <p>Suspect members count as alive, so that a temporary suspicion does not cause an exchange.
 */
public final class ViewDigest {

  /** Number of buckets, equal to the number of bits of an {@code int}. */
  public static final int BUCKETS = 32;

  private static final int BUCKET_SHIFT = Long.SIZE - 5;

  /** 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing. */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private ViewDigest() {}

  /** Returns the bucket of a member. */
  public static int bucketOf(Member member) {
    return (int) (member.shortId() >>> BUCKET_SHIFT);
  }

  /** Returns the digests of the members by bucket. */
  public static List<Integer> of(List<Member> members) {
    int[] digests = new int[BUCKETS];
    for (Member member : members) {
      digests[bucketOf(member)] += digest(member);
    }
    List<Integer> result = new ArrayList<>(BUCKETS);
    for (int digest : digests) {
      result.add(digest);
    }
    return result;
  }

  private static int digest(Member member) {
    long mixed = (member.shortId() ^ (member.generation() * HASH_MULTIPLIER)) * HASH_MULTIPLIER;
    return (int) (mixed >>> 32);
  }

  /** Returns a bit set of the buckets whose digests differ. */
  public static int differing(List<Integer> left, List<Integer> right) {
    int buckets = 0;
    for (int i = 0; i < BUCKETS; i++) {
      boolean same = i < left.size() && i < right.size() && left.get(i).equals(right.get(i));
      if (!same) {
        buckets |= 1 << i;
      }
    }
    return buckets;
  }
}
