package io.samphiredyke.core.ownership;

/**
 * Limits of the memory used by the witness registers of a process.
 *
 * @param maxRecords maximum number of recorded requests
 * @param maxRecordsPerTicket maximum number of recorded requests of one ticket
 */
public record RegisterLimits(int maxRecords, int maxRecordsPerTicket) {

  /** Limits for a small entry host. */
  public static final RegisterLimits DEFAULT = new RegisterLimits(100_000, 20_000);
}
