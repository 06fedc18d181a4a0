package io.samphiredyke.core.ownership;

import java.util.List;

/**
 * The right of a customer to name requests to one service, and the chain of processes that may own
 * these requests.
 *
 * <p>The first member of the chain owns every request of the ticket, the second may take one over,
 * the third arbitrates between them.
 *
 * @param id identity of the ticket, 128 random bits
 * @param chain one to three members, each incarnation once
 * @param customer the customer to whom it was issued
 * @param service the service
 * @param issuedAtEpochMillis when it was issued
 * @param expiresAtEpochMillis from when on it is refused
 */
public record Ticket(
    Incarnation id,
    List<ChainMember> chain,
    String customer,
    String service,
    long issuedAtEpochMillis,
    long expiresAtEpochMillis) {

  /** Place of the owner in the chain. */
  public static final int OWNER = 0;

  /** Place of the first successor, whose register is the witness of the owner. */
  public static final int FIRST_SUCCESSOR = 1;

  /** Place of the second successor, whose register arbitrates between the other two. */
  public static final int SECOND_SUCCESSOR = 2;

  /** Greatest number of members of a chain. */
  public static final int MAX_CHAIN_MEMBERS = 3;

  /** Place of a process that is not in the chain. */
  public static final int NOT_IN_CHAIN = -1;

  /**
   * Checks and copies the chain.
   *
   * @throws IllegalArgumentException if the chain is empty, too long or names a process twice
   */
  public Ticket {
    chain = List.copyOf(chain);
    if (chain.isEmpty() || chain.size() > MAX_CHAIN_MEMBERS) {
      throw new IllegalArgumentException("a chain has one to three members");
    }
    long distinct = chain.stream().map(ChainMember::incarnation).distinct().count();
    if (distinct != chain.size()) {
      throw new IllegalArgumentException("a chain names each process once");
    }
  }

  /**
   * Returns the place of a process in the chain, or {@link #NOT_IN_CHAIN}.
   *
   * @param incarnation the process
   */
  public int positionOf(Incarnation incarnation) {
    for (int place = 0; place < chain.size(); place++) {
      if (chain.get(place).incarnation().equals(incarnation)) {
        return place;
      }
    }
    return NOT_IN_CHAIN;
  }

  /**
   * Returns whether the ticket is refused at a time.
   *
   * @param nowEpochMillis the time
   */
  public boolean isExpired(long nowEpochMillis) {
    return nowEpochMillis >= expiresAtEpochMillis;
  }
}
