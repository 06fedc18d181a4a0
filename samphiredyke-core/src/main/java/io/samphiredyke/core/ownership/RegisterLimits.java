package io.samphiredyke.core.ownership;

/**
 * Bounds of the memory of a witness register.
 *
 * @param maxRecords greatest number of requests held
 * @param maxRecordsPerTicket greatest number of requests of one ticket
 */
public record RegisterLimits(int maxRecords, int maxRecordsPerTicket) {

  /** Bounds for a small entry host. */
  public static final RegisterLimits DEFAULT = new RegisterLimits(100_000, 20_000);
}
