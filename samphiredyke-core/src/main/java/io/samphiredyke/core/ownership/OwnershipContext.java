package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import java.util.ArrayList;
import java.util.List;

/** State of one request while an event is handled, with the decisions made so far. */
final class OwnershipContext {

  /** Only the process with the exclusive right to decide about a request dispatches it. */
  static final Invariant DISPATCH_IS_EXCLUSIVE = Invariant.fatal("dispatch-is-exclusive");

  /** A process dispatches again only if its previous attempt provably reached no endpoint. */
  static final Invariant DISPATCH_IS_SINGLE = Invariant.fatal("dispatch-is-single");

  /** A request that this process may have dispatched is never reported as not run. */
  static final Invariant NOT_RUN_IS_TRUE = Invariant.fatal("not-run-is-true");

  /** The holder of a register, once known to a process, never changes. */
  static final Invariant HOLDER_IS_STABLE = Invariant.fatal("register-holder-is-stable");

  private final Ticket ticket;
  private final int position;
  private final OwnershipRules rules;
  private final InvariantChecker invariants;
  private final List<OwnershipDecision> decisions = new ArrayList<>();
  private OwnershipState state;

  OwnershipContext(
      Ticket ticket,
      Incarnation self,
      OwnershipState state,
      OwnershipRules rules,
      InvariantChecker invariants) {
    this.ticket = ticket;
    this.position = ticket.positionOf(self);
    this.state = state;
    this.rules = rules;
    this.invariants = invariants;
  }

  OwnershipState state() {
    return state;
  }

  OwnershipRules rules() {
    return rules;
  }

  void update(OwnershipState.Builder builder) {
    state = builder.build();
  }

  void enterPhase(OwnershipPhase phase) {
    update(state.toBuilder().phase(phase));
  }

  void decide(OwnershipDecision decision) {
    decisions.add(decision);
  }

  List<OwnershipDecision> takeDecisions() {
    List<OwnershipDecision> result = List.copyOf(decisions);
    decisions.clear();
    return result;
  }

  int chainLength() {
    return ticket.chain().size();
  }

  boolean isOwner() {
    return position == Ticket.OWNER;
  }

  boolean isFirstSuccessor() {
    return position == Ticket.FIRST_SUCCESSOR;
  }

  boolean isExclusive() {
    return rules.isExclusive(state, chainLength(), position);
  }

  /** Returns whether this process has received the body and is permitted to hold it. */
  boolean hasPayload() {
    return state.bodyDigest() != null && ticket.chain().get(position).mayReceivePayload();
  }

  /** Returns the phase of a process that no longer takes part in the request. */
  OwnershipPhase restingPhase() {
    return isOwner() ? OwnershipPhase.TAKEN_AWAY : OwnershipPhase.IDLE;
  }

  void returnToRestingPhase() {
    update(state.toBuilder().phase(restingPhase()).awaitedWrite(null).target(Ticket.NOT_IN_CHAIN));
  }

  /** Sends a write and marks its reply as awaited. */
  void write(int register, RegisterOperation operation) {
    OwnershipState.Builder builder = state.toBuilder().target(register).awaitedWrite(operation);
    if (state.holderOf(register) == RegisterHolder.UNTOUCHED) {
      builder.holderOf(register, RegisterHolder.UNANSWERED);
    }
    update(builder);
    decide(new OwnershipDecision.WriteRegister(register, operation));
  }

  void markTried(int register) {
    update(state.toBuilder().triedPositions(state.triedPositions() | maskOf(register)));
  }

  boolean isTried(int register) {
    return (state.triedPositions() & maskOf(register)) != 0;
  }

  static int maskOf(int register) {
    return 1 << register;
  }

  /** Records what the reply to a write of this process shows about the holder of a register. */
  void recordHolder(int register, RegisterReply reply) {
    RegisterHolder known = state.holderOf(register);
    RegisterHolder shown = holderShownBy(reply, known);
    boolean isStable =
        known == shown || (known != RegisterHolder.SELF && known != RegisterHolder.OTHER);
    invariants.check(HOLDER_IS_STABLE, isStable, () -> state + " received " + reply);
    update(state.toBuilder().holderOf(register, shown));
  }

  private static RegisterHolder holderShownBy(RegisterReply reply, RegisterHolder known) {
    return switch (reply.status()) {
      case ACCEPTED, STALE -> RegisterHolder.SELF;
      case HELD_BY_OTHER -> RegisterHolder.OTHER;
      case ABSENT, FULL, EXPIRED, NOT_PERMITTED -> known;
    };
  }

  /** Answers the waiting callers, if any. */
  void answerCallers(OwnershipAnswer answer) {
    if (answer instanceof OwnershipAnswer.NotRun) {
      invariants.check(NOT_RUN_IS_TRUE, !state.dispatched(), () -> "reported as not run: " + state);
    }
    if (!state.callerWaiting()) {
      return;
    }
    update(state.toBuilder().callerWaiting(false));
    decide(new OwnershipDecision.Tell(answer));
  }

  void answerUnknown(OwnershipAnswer.UnknownCause cause) {
    answerCallers(new OwnershipAnswer.Unknown(cause));
  }

  /** Dispatches the current attempt. */
  void dispatch(String endpoint) {
    invariants.check(
        DISPATCH_IS_EXCLUSIVE, isExclusive(), () -> "dispatch without exclusive right: " + state);
    invariants.check(DISPATCH_IS_SINGLE, !state.dispatched(), () -> "second dispatch: " + state);
    update(state.toBuilder().phase(OwnershipPhase.DISPATCHED).dispatched(true).awaitedWrite(null));
    decide(new OwnershipDecision.Dispatch(endpoint, state.attempt()));
  }
}
