package io.samphiredyke.core.ownership;

import java.util.Arrays;

/**
 * Secret key that authenticates tickets.
 *
 * @param id number of the key, 0 to 255, contained in each token
 * @param secret at least 16 bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record TicketKey(int id, byte[] secret) {

  /** Minimum length of a secret in bytes. */
  public static final int MIN_SECRET_BYTES = 16;

  private static final int MAX_ID = 255;

  /**
   * Validates and copies the secret.
   *
   * @throws IllegalArgumentException if the secret is too short or the id is out of range
   */
  public TicketKey {
    if (id < 0 || id > MAX_ID) {
      throw new IllegalArgumentException("a ticket key id must be from 0 to 255");
    }
    if (secret.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException("a ticket key must have at least 16 bytes");
    }
    secret = secret.clone();
  }

  @Override
  public byte[] secret() {
    return secret.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TicketKey key && id == key.id && Arrays.equals(secret, key.secret);
  }

  @Override
  public int hashCode() {
    return id;
  }

  @Override
  public String toString() {
    return "TicketKey[" + id + "]";
  }
}
