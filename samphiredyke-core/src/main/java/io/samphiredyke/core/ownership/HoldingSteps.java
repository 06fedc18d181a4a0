package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.Claim;
import io.samphiredyke.core.ownership.OwnershipDecision.ReleaseGrant;
import io.samphiredyke.core.ownership.OwnershipDecision.WithdrawClaim;
import io.samphiredyke.core.ownership.OwnershipDecision.WriteRegister;
import io.samphiredyke.core.ownership.OwnershipState.Cell;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Intent;
import io.samphiredyke.core.ownership.RegisterOperation.Outcome;
import java.util.Objects;

/** Steps of a process that may own the request: claim, intent, dispatch and closing. */
final class HoldingSteps {

  private static final String NO_REGISTER = "no register could be reached before the dispatch";
  private static final String NO_DISPATCH_HERE = "the request cannot be dispatched from here";

  private final OwnershipContext context;
  private final RecoverySteps recovery;

  HoldingSteps(OwnershipContext context, RecoverySteps recovery) {
    this.context = context;
    this.recovery = recovery;
  }

  private OwnershipState state() {
    return context.state();
  }

  /** Begins to own the request, or closes it where it cannot be dispatched from here. */
  void own() {
    boolean hasRegister = context.isOwner() || context.chainLength() == Ticket.MAX_CHAIN_MEMBERS;
    if (!context.hasPayload() || !hasRegister) {
      close(NO_DISPATCH_HERE);
      return;
    }
    context.update(state().toBuilder().phase(OwnershipPhase.OWNING).awaited(null));
    claimIfWanted();
  }

  void claimIfWanted() {
    if (state().callerWaiting()) {
      context.decide(new Claim());
    }
  }

  void granted(String endpoint) {
    if (state().phase() != OwnershipPhase.OWNING || !state().callerWaiting()) {
      context.decide(new ReleaseGrant(endpoint));
      return;
    }
    int attempt = state().attempt() + 1;
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.INTENT_PENDING)
            .attempt(attempt)
            .endpoint(endpoint)
            .tried(0));
    if (context.chainLength() == 1) {
      context.dispatch(endpoint);
      return;
    }
    writeNext(new Intent(attempt, endpoint, state().bodyDigest()));
    boolean isPending = state().phase() == OwnershipPhase.INTENT_PENDING;
    if (isPending && !context.rules().isAcknowledgementNeeded()) {
      context.dispatch(endpoint);
    }
  }

  /** Handles the answer to the write that is awaited. */
  void replied(int register, RegisterReply reply, RegisterOperation operation) {
    if (reply.status() == RegisterReply.Status.ACCEPTED) {
      acknowledged();
      return;
    }
    if (reply.status() == RegisterReply.Status.HELD_BY_OTHER) {
      heldByOther(reply, operation);
      return;
    }
    unanswered(register, operation);
  }

  /** Handles a register that did not take the write that is awaited. */
  void unanswered(int register, RegisterOperation operation) {
    context.markTried(register);
    writeNext(operation);
  }

  private void acknowledged() {
    String endpoint = Objects.requireNonNull(state().endpoint());
    if (!state().callerWaiting()) {
      context.update(state().toBuilder().phase(OwnershipPhase.OWNING).awaited(null));
      context.decide(new ReleaseGrant(endpoint));
      return;
    }
    context.dispatch(endpoint);
  }

  private void heldByOther(RegisterReply reply, RegisterOperation operation) {
    if (context.isOwner()) {
      writeNext(operation);
      return;
    }
    if (context.isExclusive()) {
      close(NO_REGISTER);
      return;
    }
    releaseGrant();
    recovery.follow(Ticket.SECOND_SUCCESSOR, Objects.requireNonNull(reply.record()));
  }

  private void writeNext(RegisterOperation operation) {
    int register = nextRegister();
    if (register == Ticket.NOT_IN_CHAIN) {
      noRegisterLeft();
      return;
    }
    context.write(register, operation);
  }

  private int nextRegister() {
    if (!context.isOwner()) {
      return usable(Ticket.SECOND_SUCCESSOR) ? Ticket.SECOND_SUCCESSOR : Ticket.NOT_IN_CHAIN;
    }
    boolean isSecondPreferred = state().first() != Cell.SELF && state().second() == Cell.SELF;
    int preferred = isSecondPreferred ? Ticket.SECOND_SUCCESSOR : Ticket.FIRST_SUCCESSOR;
    int other = isSecondPreferred ? Ticket.FIRST_SUCCESSOR : Ticket.SECOND_SUCCESSOR;
    if (usable(preferred)) {
      return preferred;
    }
    return usable(other) ? other : Ticket.NOT_IN_CHAIN;
  }

  private boolean usable(int register) {
    if (register >= context.chainLength() || context.isTried(register)) {
      return false;
    }
    if (state().cell(register) == Cell.OTHER) {
      return false;
    }
    // The owner does not contend for an untouched register with a successor that has taken over.
    boolean isTakenOver = context.isOwner() && state().first() == Cell.OTHER;
    return !isTakenOver || state().cell(register) != Cell.UNTOUCHED;
  }

  private void noRegisterLeft() {
    if (context.isExclusive()) {
      close(NO_REGISTER);
      return;
    }
    releaseGrant();
    if (context.isOwner() && (state().first() == Cell.OTHER || state().second() == Cell.OTHER)) {
      yieldToSuccessor();
      return;
    }
    context.update(state().toBuilder().awaited(null));
    if (state().phase() == OwnershipPhase.INTENT_PENDING) {
      context.enter(OwnershipPhase.OWNING);
    }
    context.tellUnknown(UnknownCause.REGISTERS_UNREACHABLE);
  }

  /** Gives the request up to the first successor for good. */
  void yieldToSuccessor() {
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.TAKEN_AWAY)
            .awaited(null)
            .attempt(0)
            .endpoint(null));
    context.tell(new OwnershipAnswer.Redirect(Ticket.FIRST_SUCCESSOR));
  }

  /** Decides never to dispatch, and tells so once this process alone may decide. */
  void close(String reason) {
    if (state().phase() == OwnershipPhase.OWNING && state().callerWaiting()) {
      context.decide(new WithdrawClaim());
    }
    releaseGrant();
    context.update(
        state().toBuilder().phase(OwnershipPhase.CLOSING).reason(reason).awaited(null).tried(0));
    if (context.isExclusive()) {
      closed(Ticket.NOT_IN_CHAIN);
      return;
    }
    writeNext(new Close(state().attempt(), reason));
  }

  /**
   * Tells that the request did not run.
   *
   * @param recordedAt place of a register that already has the closing
   */
  void closed(int recordedAt) {
    String reason = Objects.requireNonNull(state().reason());
    context.update(state().toBuilder().phase(OwnershipPhase.CLOSED).awaited(null));
    context.tell(new OwnershipAnswer.NotRun(reason));
    for (int register = 1; register < context.chainLength(); register++) {
      if (register != recordedAt && state().cell(register) == Cell.SELF) {
        context.decide(new WriteRegister(register, new Close(state().attempt(), reason)));
      }
    }
  }

  void finished(String detail) {
    context.update(
        state().toBuilder().phase(OwnershipPhase.FINISHED).finished(true).callerWaiting(false));
    if (!state().dispatched()) {
      return;
    }
    for (int register = 1; register < context.chainLength(); register++) {
      if (state().cell(register) == Cell.SELF) {
        context.decide(new WriteRegister(register, new Outcome(state().attempt(), detail)));
      }
    }
  }

  void notDispatched() {
    context.update(state().toBuilder().phase(OwnershipPhase.OWNING).dispatched(false));
    claimIfWanted();
  }

  private void releaseGrant() {
    String endpoint = state().endpoint();
    if (state().phase() == OwnershipPhase.INTENT_PENDING && endpoint != null) {
      context.decide(new ReleaseGrant(endpoint));
    }
  }
}
