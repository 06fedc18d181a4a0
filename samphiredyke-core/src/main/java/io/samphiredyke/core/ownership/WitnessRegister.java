package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The registers that one process keeps for requests in whose chain it is a successor.
 *
 * <p>Each request has one register. Its first accepted writer holds it for good; only the holder
 * advances it afterwards. Repeated operations are answered as the first time. At the first
 * successor the owner and the first successor may write, at the second successor both of these too.
 *
 * <p>Records are dropped at the expiry of their ticket. The highest expiry dropped so far is kept,
 * and a ticket not later than it is refused, so a clock that is set back cannot empty a register
 * that was written. Not safe for use by several threads.
 */
public final class WitnessRegister {

  /** The holder of a register never changes. */
  public static final Invariant HOLDER_IS_FINAL = Invariant.fatal("register-holder-is-final");

  /** A closed register is never opened again. */
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
  private long droppedUpToEpochMillis = Long.MIN_VALUE;
  private int records;

  /**
   * Creates an empty register.
   *
   * @param self the process that keeps it
   * @param limits bounds of its memory
   * @param invariants where its invariants are checked
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
   * @param writer the authenticated process that writes
   * @param operation what it writes
   * @param nowEpochMillis the time
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
    if (isDropped(ticket, nowEpochMillis)) {
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
   * Returns what is recorded for a request.
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
   * Drops the records of tickets that have expired.
   *
   * @param nowEpochMillis the time
   * @return the number of records dropped
   */
  public int expire(long nowEpochMillis) {
    int before = records;
    Iterator<TicketRecords> tickets = byToken.values().iterator();
    while (tickets.hasNext()) {
      TicketRecords ticket = tickets.next();
      if (ticket.expiresAtEpochMillis > nowEpochMillis) {
        continue;
      }
      droppedUpToEpochMillis = Math.max(droppedUpToEpochMillis, ticket.expiresAtEpochMillis);
      records -= ticket.bySequence.size();
      tickets.remove();
    }
    return before - records;
  }

  /** Puts a record back, for checks that explore from a given state. */
  void restore(RequestId id, Ticket ticket, RegisterRecord record) {
    store(id, ticket, record);
  }

  /** Returns the number of requests held. */
  public int size() {
    return records;
  }

  private boolean mayWrite(Ticket ticket, Incarnation writer) {
    int place = ticket.positionOf(self);
    int writerPlace = ticket.positionOf(writer);
    if (place < Ticket.FIRST_SUCCESSOR || writerPlace == Ticket.NOT_IN_CHAIN) {
      return false;
    }
    return writerPlace <= Ticket.FIRST_SUCCESSOR;
  }

  private boolean isDropped(Ticket ticket, long nowEpochMillis) {
    long expiresAt = ticket.expiresAtEpochMillis();
    if (ticket.isExpired(nowEpochMillis)) {
      droppedUpToEpochMillis = Math.max(droppedUpToEpochMillis, expiresAt);
    }
    return expiresAt <= droppedUpToEpochMillis;
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
