package io.samphiredyke.core.quarantine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies requests with equal content, as endpoints see it.
 *
 * <p>The caller is compared in full, so that no caller can craft a request that is taken for
 * another one's. What differs between the attempts of a caller is not included: the id, the time
 * left and other headers.
 *
 * @param caller name of the customer, empty if the route is public and the caller stated no key
 * @param content hash of the method, the path with the query, and the body
 */
public record RequestFingerprint(String caller, long content) {

  /** Returns the fingerprint of a request. */
  public static RequestFingerprint of(String caller, String method, String target, byte[] body) {
    HashStream64 stream = Hashing.komihash5_0().hashStream();
    stream.putString(method).putString(target).putByteArray(body);
    return new RequestFingerprint(caller, stream.getAsLong());
  }

  /**
   * Returns a hash that combines both components, to compare sets of fingerprints.
   *
   * @param generation how often the request had been found to crash endpoints before
   * @param failedTrials trials since then
   */
  long mixed(int generation, int failedTrials) {
    HashStream64 stream = Hashing.komihash5_0().hashStream().putString(caller).putLong(content);
    if (generation != 0 || failedTrials != 0) {
      stream.putInt(generation).putInt(failedTrials);
    }
    return stream.getAsLong();
  }

  @Override
  public String toString() {
    return caller + ":" + Long.toHexString(content);
  }
}
