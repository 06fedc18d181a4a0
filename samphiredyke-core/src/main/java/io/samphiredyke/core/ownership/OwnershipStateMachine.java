package io.samphiredyke.core.ownership;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.WithdrawClaim;
import io.samphiredyke.core.ownership.OwnershipEvent.CallerLeft;
import io.samphiredyke.core.ownership.OwnershipEvent.ChainMemberReplied;
import io.samphiredyke.core.ownership.OwnershipEvent.ChainMemberUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.Ended;
import io.samphiredyke.core.ownership.OwnershipEvent.EndpointRefused;
import io.samphiredyke.core.ownership.OwnershipEvent.Granted;
import io.samphiredyke.core.ownership.OwnershipEvent.NotDispatched;
import io.samphiredyke.core.ownership.OwnershipEvent.Refuse;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterReplied;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.ResumeNotFound;
import io.samphiredyke.core.ownership.OwnershipEvent.ResumeUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.StateQueried;
import io.samphiredyke.core.ownership.OwnershipEvent.StreamBroken;
import io.samphiredyke.core.ownership.OwnershipEvent.Submitted;
import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one request in one process, which ensures that the request is dispatched at most
 * once across all processes.
 *
 * <p>It reads no clock and starts no timers: the caller reports timeouts as events. A wrongly
 * reported timeout may cost the response, but never causes a second dispatch. Its decisions follow
 * these rules:
 *
 * <ul>
 *   <li>{@code Dispatch} requires that a register has acknowledged the intent of exactly this
 *       attempt and that this process has the exclusive right to decide (see {@link
 *       OwnershipRules#isExclusive}). In a chain of one member there is no register to wait for.
 *   <li>{@code NotRun} requires that this process has the exclusive right to decide, has not
 *       dispatched and never will, or that such a process has stated so, directly or in a register.
 *   <li>{@code Unknown} is returned in all other cases in which the response is unavailable.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class OwnershipStateMachine {

  private final OwnershipContext context;
  private final OwnerTransitions ownerTransitions;
  private final RecoveryTransitions recoveryTransitions;

  /**
   * Creates the state machine of a process that has not seen the request yet.
   *
   * @param ticket the verified ticket of the request
   * @param self this process
   * @param invariants checks the invariants
   */
  public OwnershipStateMachine(Ticket ticket, Incarnation self, InvariantChecker invariants) {
    this(ticket, self, OwnershipState.initial(), OwnershipRules.STANDARD, invariants);
  }

  OwnershipStateMachine(
      Ticket ticket,
      Incarnation self,
      OwnershipState state,
      OwnershipRules rules,
      InvariantChecker invariants) {
    this.context = new OwnershipContext(ticket, self, state, rules, invariants);
    this.recoveryTransitions = new RecoveryTransitions(context);
    this.ownerTransitions = new OwnerTransitions(context, recoveryTransitions);
  }

  /** Returns the state after the last event. */
  public OwnershipState state() {
    return context.state();
  }

  /**
   * Handles one event.
   *
   * @param event what happened
   * @return the decisions to carry out, in order
   */
  public List<OwnershipDecision> handle(OwnershipEvent event) {
    if (event instanceof Submitted submitted) {
      submitted(submitted.bodyDigest());
    } else if (event instanceof Granted granted) {
      ownerTransitions.granted(granted.endpoint());
    } else if (event instanceof RegisterReplied replied) {
      registerReplied(replied);
    } else if (event instanceof RegisterUnreachable unreachable) {
      registerUnreachable(unreachable);
    } else if (event instanceof ChainMemberReplied replied) {
      memberReplied(replied);
    } else if (event instanceof ChainMemberUnreachable unreachable) {
      memberUnreachable(unreachable);
    } else if (event instanceof StateQueried query) {
      stateQueried(query.position());
    } else if (event instanceof CallerLeft) {
      callerLeft();
    } else if (event instanceof Refuse refuse) {
      refuse(refuse.reason());
    } else {
      endpointEvent(event);
    }
    return context.takeDecisions();
  }

  /** Returns the reply to a state query from another process. */
  public ChainMemberReply reply() {
    OwnershipState state = state();
    return switch (state.phase()) {
      case CLOSED ->
          new ChainMemberReply(
              ChainMemberReply.Status.CLOSED, null, state.attempt(), state.reason());
      case IDLE, ASKING, TAKING_OVER, CONSULTING, TAKEN_AWAY ->
          ChainMemberReply.of(
              context.isOwner() && state.phase() != OwnershipPhase.IDLE
                  ? ChainMemberReply.Status.GIVEN_UP
                  : ChainMemberReply.Status.NOT_HOLDING);
      case RECOVERING, FINISHED ->
          state.dispatched()
              ? ChainMemberReply.of(ChainMemberReply.Status.HOLDS)
              : new ChainMemberReply(
                  ChainMemberReply.Status.INTENDED, state.endpoint(), state.attempt(), null);
      case OWNING, INTENT_PENDING, DISPATCHED, CLOSING, UNKNOWN ->
          ChainMemberReply.of(ChainMemberReply.Status.HOLDS);
    };
  }

  private void submitted(@Nullable String bodyDigest) {
    OwnershipState state = state();
    String known = state.bodyDigest();
    if (known != null && bodyDigest != null && !known.equals(bodyDigest)) {
      context.decide(new OwnershipDecision.Tell(new OwnershipAnswer.Conflict()));
      return;
    }
    String digest = known == null ? bodyDigest : known;
    context.update(state.toBuilder().bodyDigest(digest).callerWaiting(true));
    proceed(state.callerWaiting());
  }

  private void proceed(boolean wasWaiting) {
    OwnershipState state = state();
    switch (state.phase()) {
      case IDLE -> start();
      case OWNING -> {
        if (!wasWaiting) {
          ownerTransitions.startOwning();
        }
      }
      case CLOSING -> {
        if (state.awaitedWrite() == null) {
          ownerTransitions.close(String.valueOf(state.reason()));
        }
      }
      case CLOSED -> ownerTransitions.closed(Ticket.NOT_IN_CHAIN);
      case TAKEN_AWAY -> recoveryTransitions.queryMember(Ticket.FIRST_SUCCESSOR);
      case FINISHED, UNKNOWN -> recoveryTransitions.resume();
      default -> {
        // The caller waits for the result of the work in progress.
      }
    }
  }

  private void start() {
    if (context.isOwner()) {
      ownerTransitions.startOwning();
      return;
    }
    recoveryTransitions.queryMember(Ticket.OWNER);
  }

  private void registerReplied(RegisterReplied event) {
    RegisterOperation operation = event.operation();
    if (operation == null) {
      if (isReadingRegister(event.position())) {
        recoveryTransitions.readReplied(event.position(), event.reply());
      }
      return;
    }
    context.recordHolder(event.position(), event.reply());
    if (state().phase() == OwnershipPhase.CLOSING && context.isExclusive()) {
      boolean isRecorded = operation instanceof RegisterOperation.Close;
      ownerTransitions.closed(isRecorded ? event.position() : Ticket.NOT_IN_CHAIN);
      return;
    }
    if (!context.rules().isAwaited(state(), event.position(), operation)) {
      return;
    }
    if (state().phase() != OwnershipPhase.TAKING_OVER) {
      ownerTransitions.writeReplied(event.position(), event.reply(), operation);
      return;
    }
    if (!recoveryTransitions.takeReplied(event.position(), event.reply())) {
      return;
    }
    if (context.isOwner()) {
      ownerTransitions.closed(event.position());
    } else {
      ownerTransitions.startOwning();
    }
  }

  private void registerUnreachable(RegisterUnreachable event) {
    RegisterOperation operation = event.operation();
    if (operation == null) {
      if (isReadingRegister(event.position())) {
        recoveryTransitions.readReplied(event.position(), null);
      }
      return;
    }
    if (!context.rules().isAwaited(state(), event.position(), operation)) {
      return;
    }
    if (state().phase() == OwnershipPhase.TAKING_OVER) {
      recoveryTransitions.takeFailed(UnknownCause.REGISTERS_UNREACHABLE);
      return;
    }
    ownerTransitions.writeFailed(event.position(), operation);
  }

  private boolean isReadingRegister(int register) {
    return state().phase() == OwnershipPhase.CONSULTING && state().target() == register;
  }

  private void memberReplied(ChainMemberReplied event) {
    boolean hasYielded = event.reply().status() == ChainMemberReply.Status.GIVEN_UP;
    if (hasYielded && event.position() == Ticket.OWNER) {
      context.update(state().toBuilder().ownerYielded(true));
    }
    if (isQueryingMember(event.position())) {
      recoveryTransitions.memberReplied(event.position(), event.reply());
    }
  }

  private void memberUnreachable(ChainMemberUnreachable event) {
    if (isQueryingMember(event.position())) {
      recoveryTransitions.memberUnreachable(event.position());
    }
  }

  private boolean isQueryingMember(int member) {
    return state().phase() == OwnershipPhase.ASKING && state().target() == member;
  }

  private void stateQueried(int position) {
    if (position != Ticket.FIRST_SUCCESSOR || !context.isOwner()) {
      return;
    }
    OwnershipPhase phase = state().phase();
    boolean isIdle = phase == OwnershipPhase.IDLE;
    boolean isAbandoned = phase == OwnershipPhase.OWNING && !state().callerWaiting();
    if (isIdle || (isAbandoned && state().firstRegister() != RegisterHolder.SELF)) {
      ownerTransitions.yieldToSuccessor();
    }
  }

  private void callerLeft() {
    if (state().phase() == OwnershipPhase.OWNING && state().callerWaiting()) {
      context.decide(new WithdrawClaim());
    }
    context.update(state().toBuilder().callerWaiting(false));
  }

  private void refuse(String reason) {
    switch (state().phase()) {
      case IDLE -> {
        if (context.isOwner()) {
          ownerTransitions.close(reason);
        }
      }
      case OWNING, INTENT_PENDING -> ownerTransitions.close(reason);
      case DISPATCHED, RECOVERING -> context.answerCallers(new OwnershipAnswer.Running());
      case CLOSING, ASKING, TAKING_OVER, CONSULTING, TAKEN_AWAY ->
          context.answerUnknown(UnknownCause.HOLDER_UNREACHABLE);
      default -> {
        // The callers have already received their answer.
      }
    }
  }

  private void endpointEvent(OwnershipEvent event) {
    if (event instanceof NotDispatched failed && isRunning(failed.attempt())) {
      if (state().phase() == OwnershipPhase.DISPATCHED) {
        ownerTransitions.notDispatched();
      }
    } else if (event instanceof EndpointRefused refused && isRunning(refused.attempt())) {
      ownerTransitions.finished("refused");
    } else if (event instanceof Ended ended && isRunning(ended.attempt())) {
      ownerTransitions.finished("ended");
    } else if (event instanceof StreamBroken broken && isRunning(broken.attempt())) {
      recoveryTransitions.resume();
    } else if (event instanceof ResumeNotFound notFound && isRecovering(notFound.attempt())) {
      recoveryTransitions.resumeFailed(UnknownCause.ENDPOINT_LOST_WORK);
    } else if (event instanceof ResumeUnreachable unreachable
        && isRecovering(unreachable.attempt())) {
      recoveryTransitions.resumeFailed(UnknownCause.ENDPOINT_UNREACHABLE);
    }
  }

  private boolean isRunning(int attempt) {
    return state().phase() == OwnershipPhase.DISPATCHED
        ? state().attempt() == attempt
        : isRecovering(attempt);
  }

  private boolean isRecovering(int attempt) {
    return state().phase() == OwnershipPhase.RECOVERING && state().attempt() == attempt;
  }
}
