package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Write-once registers that a process keeps for requests in whose chain it is a successor.
 *
 * <p>Each request has one register. Its first accepted writer holds it permanently, and only the
 * holder can update it afterwards. Repeating the latest operation is accepted again, so that
 * retries are safe. The owner and the first successor may write to the registers of both
 * successors.
 *
 * <p>Records are removed when their ticket expires. The latest expiry time removed so far is kept
 * as a watermark, and tickets that do not expire after it are refused, so that setting the clock
 * back cannot make a written register appear empty. Not thread-safe.
 */
public final class WitnessRegister {

  /** The holder of a register never changes. */
  public static final Invariant HOLDER_IS_FINAL = Invariant.fatal("register-holder-is-final");

  /** A closed register is never reopened. */
  public static final Invariant CLOSED_IS_FINAL = Invariant.fatal("register-closed-is-final");

  private static final class TicketRecords {
    private final long expiresAtEpochMillis;
    private final Map<Long, RegisterRecord> bySequence = new HashMap<>();

    private TicketRecords(long expiresAtEpochMillis) {
      this.expiresAtEpochMillis = expiresAtEpochMillis;
    }
  }

  private final Incarnation self;
  private final RegisterLimits limits;
  private final RegisterRules rules;
  private final InvariantChecker invariants;
  private final Map<String, TicketRecords> byToken = new HashMap<>();
  private long expiryWatermarkEpochMillis = Long.MIN_VALUE;
  private int records;

  /**
   * Creates the registers of a process, without records.
   *
   * @param self the process that keeps the registers
   * @param limits limits of the memory used
   * @param invariants checks the invariants
   */
  public WitnessRegister(Incarnation self, RegisterLimits limits, InvariantChecker invariants) {
    this(self, limits, invariants, RegisterRules.WRITE_ONCE);
  }

  WitnessRegister(
      Incarnation self, RegisterLimits limits, InvariantChecker invariants, RegisterRules rules) {
    this.self = self;
    this.limits = limits;
    this.invariants = invariants;
    this.rules = rules;
  }

  /**
   * Applies a write.
   *
   * @param id the request
   * @param ticket the verified ticket of the request
   * @param writer the authenticated writing process
   * @param operation the write
   * @param nowEpochMillis current time
   */
  public RegisterReply apply(
      RequestId id,
      Ticket ticket,
      Incarnation writer,
      RegisterOperation operation,
      long nowEpochMillis) {
    RegisterRecord before = record(id);
    if (!mayWrite(ticket, writer)) {
      return new RegisterReply(RegisterReply.Status.NOT_PERMITTED, null);
    }
    if (isExpired(ticket, nowEpochMillis)) {
      return new RegisterReply(RegisterReply.Status.EXPIRED, null);
    }
    if (before == null && isFull(id)) {
      return new RegisterReply(RegisterReply.Status.FULL, null);
    }
    RegisterReply reply = rules.apply(before, writer, operation);
    RegisterRecord after = reply.record();
    if (after != null && !after.equals(before)) {
      checkChange(before, after);
      store(id, ticket, after);
    }
    return reply;
  }

  /**
   * Returns the record of a request.
   *
   * @param id the request
   */
  public RegisterReply read(RequestId id) {
    RegisterRecord record = record(id);
    if (record == null) {
      return new RegisterReply(RegisterReply.Status.ABSENT, null);
    }
    return new RegisterReply(RegisterReply.Status.ACCEPTED, record);
  }

  /**
   * Removes the records of expired tickets.
   *
   * @param nowEpochMillis current time
   * @return the number of records removed
   */
  public int expire(long nowEpochMillis) {
    int before = records;
    Iterator<TicketRecords> tickets = byToken.values().iterator();
    while (tickets.hasNext()) {
      TicketRecords ticket = tickets.next();
      if (ticket.expiresAtEpochMillis > nowEpochMillis) {
        continue;
      }
      expiryWatermarkEpochMillis =
          Math.max(expiryWatermarkEpochMillis, ticket.expiresAtEpochMillis);
      records -= ticket.bySequence.size();
      tickets.remove();
    }
    return before - records;
  }

  /** Restores a record, for tests that explore from a given state. */
  void restore(RequestId id, Ticket ticket, RegisterRecord record) {
    store(id, ticket, record);
  }

  /** Returns the number of recorded requests. */
  public int size() {
    return records;
  }

  private boolean mayWrite(Ticket ticket, Incarnation writer) {
    int position = ticket.positionOf(self);
    int writerPosition = ticket.positionOf(writer);
    if (position < Ticket.FIRST_SUCCESSOR || writerPosition == Ticket.NOT_IN_CHAIN) {
      return false;
    }
    return writerPosition <= Ticket.FIRST_SUCCESSOR;
  }

  private boolean isExpired(Ticket ticket, long nowEpochMillis) {
    long expiresAt = ticket.expiresAtEpochMillis();
    if (ticket.isExpired(nowEpochMillis)) {
      expiryWatermarkEpochMillis = Math.max(expiryWatermarkEpochMillis, expiresAt);
    }
    return expiresAt <= expiryWatermarkEpochMillis;
  }

  private boolean isFull(RequestId id) {
    if (records >= limits.maxRecords()) {
      return true;
    }
    TicketRecords ticket = byToken.get(id.token());
    return ticket != null && ticket.bySequence.size() >= limits.maxRecordsPerTicket();
  }

  private void checkChange(@Nullable RegisterRecord before, RegisterRecord after) {
    if (before == null) {
      return;
    }
    invariants.check(
        HOLDER_IS_FINAL,
        Objects.equals(before.holder(), after.holder()),
        () -> before + " to " + after);
    invariants.check(
        CLOSED_IS_FINAL,
        before.status() != RegisterRecord.Status.CLOSED,
        () -> before + " to " + after);
  }

  private void store(RequestId id, Ticket ticket, RegisterRecord record) {
    TicketRecords ofTicket =
        byToken.computeIfAbsent(
            id.token(), token -> new TicketRecords(ticket.expiresAtEpochMillis()));
    if (ofTicket.bySequence.put(id.sequence(), record) == null) {
      records++;
    }
  }

  private @Nullable RegisterRecord record(RequestId id) {
    TicketRecords ticket = byToken.get(id.token());
    return ticket == null ? null : ticket.bySequence.get(id.sequence());
  }
}
