package io.samphiredyke.core.ownership;

import java.util.List;

/**
 * Authorizes a customer to create request ids for one service, and names the chain of processes
 * that may own these requests.
 *
 * <p>The first member of the chain owns every request of the ticket, the second one may take a
 * request over, and the third one arbitrates between them.
 *
 * @param id identifier of the ticket, 128 random bits
 * @param chain one to three members with distinct incarnations
 * @param customer the customer to whom the ticket was issued
 * @param service the service
 * @param issuedAtEpochMillis time of issue
 * @param expiresAtEpochMillis time from which the ticket is refused
 */
public record Ticket(
    Incarnation id,
    List<ChainMember> chain,
    String customer,
    String service,
    long issuedAtEpochMillis,
    long expiresAtEpochMillis) {

  /** Position of the owner in the chain. */
  public static final int OWNER = 0;

  /** Position of the first successor, whose register is the witness of the owner. */
  public static final int FIRST_SUCCESSOR = 1;

  /** Position of the second successor, whose register arbitrates between the other two. */
  public static final int SECOND_SUCCESSOR = 2;

  /** Maximum number of members of a chain. */
  public static final int MAX_CHAIN_MEMBERS = 3;

  /** Pseudo-position of a process that is not in the chain. */
  public static final int NOT_IN_CHAIN = -1;

  /**
   * Validates and copies the chain.
   *
   * @throws IllegalArgumentException if the chain is empty, too long or contains a process twice
   */
  public Ticket {
    chain = List.copyOf(chain);
    if (chain.isEmpty() || chain.size() > MAX_CHAIN_MEMBERS) {
      throw new IllegalArgumentException("a chain must have one to three members");
    }
    long distinct = chain.stream().map(ChainMember::incarnation).distinct().count();
    if (distinct != chain.size()) {
      throw new IllegalArgumentException("a chain must not contain a process twice");
    }
  }

  /**
   * Returns the position of a process in the chain, or {@link #NOT_IN_CHAIN}.
   *
   * @param incarnation the process
   */
  public int positionOf(Incarnation incarnation) {
    for (int position = 0; position < chain.size(); position++) {
      if (chain.get(position).incarnation().equals(incarnation)) {
        return position;
      }
    }
    return NOT_IN_CHAIN;
  }

  /**
   * Returns whether the ticket has expired.
   *
   * @param nowEpochMillis current time
   */
  public boolean isExpired(long nowEpochMillis) {
    return nowEpochMillis >= expiresAtEpochMillis;
  }
}
