package io.samphiredyke.daemon.witness;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.RegisterLimits;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RegisterReply;
import io.samphiredyke.core.ownership.RequestId;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketCodec;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.core.ownership.WitnessRegister;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.Optional;

/**
 * Stores the registers of requests in whose chain this host is a successor.
 *
 * <p>All methods run on the control loop.
 */
public final class WitnessService {

  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

  private final ControlEventLoop loop;
  private final TicketCodec tickets;
  private final WitnessRegister register;

  /** Creates a service without registers. */
  public WitnessService(
      ControlEventLoop loop, TicketCodec tickets, Incarnation self, InvariantChecker invariants) {
    this.loop = loop;
    this.tickets = tickets;
    this.register = new WitnessRegister(self, RegisterLimits.DEFAULT, invariants);
  }

  /** Starts the periodic removal of records whose tickets have expired. */
  public void start() {
    loop.scheduleWithFixedDelay(() -> register.expire(loop.epochMillis()), EXPIRY_INTERVAL);
  }

  /**
   * Applies a write of an authenticated host.
   *
   * @param writer the incarnation of the host that writes
   * @return the reply, or empty if the request id is invalid
   */
  public Optional<RegisterReply> write(
      String requestId, Incarnation writer, RegisterOperation operation) {
    Optional<RequestId> id = RequestId.parse(requestId);
    if (id.isEmpty()) {
      return Optional.empty();
    }
    try {
      Ticket ticket = tickets.decodeIgnoringExpiry(id.get().token());
      return Optional.of(register.apply(id.get(), ticket, writer, operation, loop.epochMillis()));
    } catch (TicketException e) {
      return Optional.empty();
    }
  }

  /** Returns the record of a request. */
  public RegisterReply read(RequestId id) {
    return register.read(id);
  }

  /** Returns the number of requests with a record. */
  public int size() {
    return register.size();
  }
}
