package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.Claim;
import io.samphiredyke.core.ownership.OwnershipDecision.ReleaseGrant;
import io.samphiredyke.core.ownership.OwnershipDecision.WithdrawClaim;
import io.samphiredyke.core.ownership.OwnershipDecision.WriteRegister;
import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Intent;
import io.samphiredyke.core.ownership.RegisterOperation.Outcome;
import java.util.Objects;

/** Transitions of a process that may own the request: slot request, intent, dispatch and close. */
final class OwnerTransitions {

  private static final String NO_REGISTER = "no register could be reached before the dispatch";
  private static final String NO_DISPATCH_HERE = "the request cannot be dispatched from here";

  private final OwnershipContext context;
  private final RecoveryTransitions recovery;

  OwnerTransitions(OwnershipContext context, RecoveryTransitions recovery) {
    this.context = context;
    this.recovery = recovery;
  }

  private OwnershipState state() {
    return context.state();
  }

  /** Starts to own the request, or closes it if it cannot be dispatched from this process. */
  void startOwning() {
    boolean hasRegister = context.isOwner() || context.chainLength() == Ticket.MAX_CHAIN_MEMBERS;
    if (!context.hasPayload() || !hasRegister) {
      close(NO_DISPATCH_HERE);
      return;
    }
    context.update(state().toBuilder().phase(OwnershipPhase.OWNING).awaitedWrite(null));
    requestSlotIfCallerWaits();
  }

  void requestSlotIfCallerWaits() {
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
            .triedPositions(0));
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

  /** Handles the reply to the awaited write. */
  void writeReplied(int register, RegisterReply reply, RegisterOperation operation) {
    if (reply.status() == RegisterReply.Status.ACCEPTED) {
      acknowledged();
      return;
    }
    if (reply.status() == RegisterReply.Status.HELD_BY_OTHER) {
      heldByOther(reply, operation);
      return;
    }
    writeFailed(register, operation);
  }

  /** Handles a register that did not accept the awaited write. */
  void writeFailed(int register, RegisterOperation operation) {
    context.markTried(register);
    writeNext(operation);
  }

  private void acknowledged() {
    String endpoint = Objects.requireNonNull(state().endpoint());
    if (!state().callerWaiting()) {
      context.update(state().toBuilder().phase(OwnershipPhase.OWNING).awaitedWrite(null));
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
    recovery.actOnForeignRecord(Ticket.SECOND_SUCCESSOR, Objects.requireNonNull(reply.record()));
  }

  private void writeNext(RegisterOperation operation) {
    int register = nextRegister();
    if (register == Ticket.NOT_IN_CHAIN) {
      registersExhausted();
      return;
    }
    context.write(register, operation);
  }

  private int nextRegister() {
    if (!context.isOwner()) {
      return isUsable(Ticket.SECOND_SUCCESSOR) ? Ticket.SECOND_SUCCESSOR : Ticket.NOT_IN_CHAIN;
    }
    boolean isSecondPreferred =
        state().firstRegister() != RegisterHolder.SELF
            && state().secondRegister() == RegisterHolder.SELF;
    int preferred = isSecondPreferred ? Ticket.SECOND_SUCCESSOR : Ticket.FIRST_SUCCESSOR;
    int other = isSecondPreferred ? Ticket.FIRST_SUCCESSOR : Ticket.SECOND_SUCCESSOR;
    if (isUsable(preferred)) {
      return preferred;
    }
    return isUsable(other) ? other : Ticket.NOT_IN_CHAIN;
  }

  private boolean isUsable(int register) {
    if (register >= context.chainLength() || context.isTried(register)) {
      return false;
    }
    if (state().holderOf(register) == RegisterHolder.OTHER) {
      return false;
    }
    // Once a successor has taken over, the owner does not compete with it for an untouched
    // register.
    boolean isTakenOver = context.isOwner() && state().firstRegister() == RegisterHolder.OTHER;
    return !isTakenOver || state().holderOf(register) != RegisterHolder.UNTOUCHED;
  }

  private void registersExhausted() {
    if (context.isExclusive()) {
      close(NO_REGISTER);
      return;
    }
    releaseGrant();
    if (context.isOwner()
        && (state().firstRegister() == RegisterHolder.OTHER
            || state().secondRegister() == RegisterHolder.OTHER)) {
      yieldToSuccessor();
      return;
    }
    context.update(state().toBuilder().awaitedWrite(null));
    if (state().phase() == OwnershipPhase.INTENT_PENDING) {
      context.enterPhase(OwnershipPhase.OWNING);
    }
    context.answerUnknown(UnknownCause.REGISTERS_UNREACHABLE);
  }

  /** Permanently yields the request to the first successor. */
  void yieldToSuccessor() {
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.TAKEN_AWAY)
            .awaitedWrite(null)
            .attempt(0)
            .endpoint(null));
    context.answerCallers(new OwnershipAnswer.Redirect(Ticket.FIRST_SUCCESSOR));
  }

  /**
   * Decides never to dispatch; the callers are answered once this process may decide exclusively.
   */
  void close(String reason) {
    if (state().phase() == OwnershipPhase.OWNING && state().callerWaiting()) {
      context.decide(new WithdrawClaim());
    }
    releaseGrant();
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.CLOSING)
            .reason(reason)
            .awaitedWrite(null)
            .triedPositions(0));
    if (context.isExclusive()) {
      closed(Ticket.NOT_IN_CHAIN);
      return;
    }
    writeNext(new Close(state().attempt(), reason));
  }

  /**
   * Answers the callers that the request was not run.
   *
   * @param recordedAt position of a register that already contains the close
   */
  void closed(int recordedAt) {
    String reason = Objects.requireNonNull(state().reason());
    context.update(state().toBuilder().phase(OwnershipPhase.CLOSED).awaitedWrite(null));
    context.answerCallers(new OwnershipAnswer.NotRun(reason));
    for (int register = 1; register < context.chainLength(); register++) {
      if (register != recordedAt && state().holderOf(register) == RegisterHolder.SELF) {
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
      if (state().holderOf(register) == RegisterHolder.SELF) {
        context.decide(new WriteRegister(register, new Outcome(state().attempt(), detail)));
      }
    }
  }

  void notDispatched() {
    context.update(state().toBuilder().phase(OwnershipPhase.OWNING).dispatched(false));
    requestSlotIfCallerWaits();
  }

  private void releaseGrant() {
    String endpoint = state().endpoint();
    if (state().phase() == OwnershipPhase.INTENT_PENDING && endpoint != null) {
      context.decide(new ReleaseGrant(endpoint));
    }
  }
}
