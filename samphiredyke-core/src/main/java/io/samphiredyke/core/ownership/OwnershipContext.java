package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.OwnershipState.Cell;
import java.util.ArrayList;
import java.util.List;

/** The state of one request while an event is handled, and the decisions made so far. */
final class OwnershipContext {

  /** Only the process that alone may decide about a request dispatches it. */
  static final Invariant DISPATCH_IS_EXCLUSIVE = Invariant.fatal("dispatch-is-exclusive");

  /** A process dispatches again only if its former attempt provably reached no endpoint. */
  static final Invariant DISPATCH_IS_SINGLE = Invariant.fatal("dispatch-is-single");

  /** What a process may have dispatched is not told as not run. */
  static final Invariant NOT_RUN_IS_TRUE = Invariant.fatal("not-run-is-true");

  /** What a process knows of the holder of a register never changes. */
  static final Invariant HOLDER_IS_STABLE = Invariant.fatal("register-holder-is-stable");

  private final Ticket ticket;
  private final int place;
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
    this.place = ticket.positionOf(self);
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

  void enter(OwnershipPhase phase) {
    update(state.toBuilder().phase(phase));
  }

  void decide(OwnershipDecision decision) {
    decisions.add(decision);
  }

  List<OwnershipDecision> drain() {
    List<OwnershipDecision> result = List.copyOf(decisions);
    decisions.clear();
    return result;
  }

  int chainLength() {
    return ticket.chain().size();
  }

  boolean isOwner() {
    return place == Ticket.OWNER;
  }

  boolean isFirstSuccessor() {
    return place == Ticket.FIRST_SUCCESSOR;
  }

  boolean isExclusive() {
    return rules.isExclusive(state, chainLength(), place);
  }

  /** Returns whether this process has the body and may hold it. */
  boolean hasPayload() {
    return state.bodyDigest() != null && ticket.chain().get(place).mayReceivePayload();
  }

  /** Returns the phase of a process that has no part in the request. */
  OwnershipPhase restingPhase() {
    return isOwner() ? OwnershipPhase.TAKEN_AWAY : OwnershipPhase.IDLE;
  }

  void rest() {
    update(state.toBuilder().phase(restingPhase()).awaited(null).target(Ticket.NOT_IN_CHAIN));
  }

  /** Sends a write and awaits its answer. */
  void write(int register, RegisterOperation operation) {
    OwnershipState.Builder builder = state.toBuilder().target(register).awaited(operation);
    if (state.cell(register) == Cell.UNTOUCHED) {
      builder.cell(register, Cell.UNANSWERED);
    }
    update(builder);
    decide(new OwnershipDecision.WriteRegister(register, operation));
  }

  void markTried(int register) {
    update(state.toBuilder().tried(state.tried() | bit(register)));
  }

  boolean isTried(int register) {
    return (state.tried() & bit(register)) != 0;
  }

  static int bit(int register) {
    return 1 << register;
  }

  /** Keeps what the answer to any own write shows about the holder of a register. */
  void learn(int register, RegisterReply reply) {
    Cell known = state.cell(register);
    Cell shown = shownBy(reply, known);
    boolean isStable = known == shown || (known != Cell.SELF && known != Cell.OTHER);
    invariants.check(HOLDER_IS_STABLE, isStable, () -> state + " got " + reply);
    update(state.toBuilder().cell(register, shown));
  }

  private static Cell shownBy(RegisterReply reply, Cell known) {
    return switch (reply.status()) {
      case ACCEPTED, STALE -> Cell.SELF;
      case HELD_BY_OTHER -> Cell.OTHER;
      case ABSENT, FULL, EXPIRED, NOT_PERMITTED -> known;
    };
  }

  /** Answers the callers that wait, if any. */
  void tell(OwnershipAnswer answer) {
    if (answer instanceof OwnershipAnswer.NotRun) {
      invariants.check(NOT_RUN_IS_TRUE, !state.dispatched(), () -> "told of " + state);
    }
    if (!state.callerWaiting()) {
      return;
    }
    update(state.toBuilder().callerWaiting(false));
    decide(new OwnershipDecision.Tell(answer));
  }

  void tellUnknown(OwnershipAnswer.UnknownCause cause) {
    tell(new OwnershipAnswer.Unknown(cause));
  }

  /** Dispatches the current attempt. */
  void dispatch(String endpoint) {
    invariants.check(DISPATCH_IS_EXCLUSIVE, isExclusive(), () -> "dispatch by " + state);
    invariants.check(DISPATCH_IS_SINGLE, !state.dispatched(), () -> "second dispatch by " + state);
    update(state.toBuilder().phase(OwnershipPhase.DISPATCHED).dispatched(true).awaited(null));
    decide(new OwnershipDecision.Dispatch(endpoint, state.attempt()));
  }
}
