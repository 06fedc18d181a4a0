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
import io.samphiredyke.core.ownership.OwnershipState.Cell;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides what one process does with one request, so that the request is dispatched at most once
 * over all processes.
 *
 * <p>It holds no clock and starts no timer: whoever drives it reports a silence as an event, and a
 * report that is wrong costs an answer at worst, never a second dispatch. The rules of its answers:
 *
 * <ul>
 *   <li>{@code Dispatch} needs the acknowledgement of the intent of exactly this attempt by a
 *       register, and that this process alone may decide (see {@link OwnershipRules#isExclusive}).
 *   <li>{@code NotRun} needs that this process alone may decide, has not dispatched and never will;
 *       or the word of such a process, from itself or from a register.
 *   <li>{@code Unknown} is told in all other cases in which the answer cannot be had.
 * </ul>
 *
 * <p>Not safe for use by several threads.
 */
public final class OwnershipStateMachine {

  private final OwnershipContext context;
  private final HoldingSteps holding;
  private final RecoverySteps recovery;

  /**
   * Creates the machine of a process that has not heard of the request.
   *
   * @param ticket the verified ticket of the request
   * @param self this process
   * @param invariants where its invariants are checked
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
    this.recovery = new RecoverySteps(context);
    this.holding = new HoldingSteps(context, recovery);
  }

  /** Returns the state after the last event. */
  public OwnershipState state() {
    return context.state();
  }

  /**
   * Handles one event.
   *
   * @param event what happened
   * @return what to do, in this order
   */
  public List<OwnershipDecision> handle(OwnershipEvent event) {
    if (event instanceof Submitted submitted) {
      submitted(submitted.bodyDigest());
    } else if (event instanceof Granted granted) {
      holding.granted(granted.endpoint());
    } else if (event instanceof RegisterReplied replied) {
      registerReplied(replied);
    } else if (event instanceof RegisterUnreachable unreachable) {
      registerUnreachable(unreachable);
    } else if (event instanceof ChainMemberReplied replied) {
      ownerReplied(replied);
    } else if (event instanceof ChainMemberUnreachable unreachable) {
      ownerUnreachable(unreachable);
    } else if (event instanceof StateQueried asked) {
      asked(asked.position());
    } else if (event instanceof CallerLeft) {
      callerLeft();
    } else if (event instanceof Refuse refuse) {
      refuse(refuse.reason());
    } else {
      endpointEvent(event);
    }
    return context.drain();
  }

  /** Returns what this process says when another one asks it. */
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
      case IDLE -> begin();
      case OWNING -> {
        if (!wasWaiting) {
          holding.own();
        }
      }
      case CLOSING -> {
        if (state.awaited() == null) {
          holding.close(String.valueOf(state.reason()));
        }
      }
      case CLOSED -> holding.closed(Ticket.NOT_IN_CHAIN);
      case TAKEN_AWAY -> recovery.ask(Ticket.FIRST_SUCCESSOR);
      case FINISHED, UNKNOWN -> recovery.resume();
      default -> {
        // The caller joins what is under way.
      }
    }
  }

  private void begin() {
    if (context.isOwner()) {
      holding.own();
      return;
    }
    recovery.ask(Ticket.OWNER);
  }

  private void registerReplied(RegisterReplied event) {
    RegisterOperation operation = event.operation();
    if (operation == null) {
      if (isConsulting(event.position())) {
        recovery.readReplied(event.position(), event.reply());
      }
      return;
    }
    context.learn(event.position(), event.reply());
    if (state().phase() == OwnershipPhase.CLOSING && context.isExclusive()) {
      boolean isRecorded = operation instanceof RegisterOperation.Close;
      holding.closed(isRecorded ? event.position() : Ticket.NOT_IN_CHAIN);
      return;
    }
    if (!context.rules().isAwaited(state(), event.position(), operation)) {
      return;
    }
    if (state().phase() != OwnershipPhase.TAKING_OVER) {
      holding.replied(event.position(), event.reply(), operation);
      return;
    }
    if (!recovery.takeReplied(event.position(), event.reply())) {
      return;
    }
    if (context.isOwner()) {
      holding.closed(event.position());
    } else {
      holding.own();
    }
  }

  private void registerUnreachable(RegisterUnreachable event) {
    RegisterOperation operation = event.operation();
    if (operation == null) {
      if (isConsulting(event.position())) {
        recovery.readReplied(event.position(), null);
      }
      return;
    }
    if (!context.rules().isAwaited(state(), event.position(), operation)) {
      return;
    }
    if (state().phase() == OwnershipPhase.TAKING_OVER) {
      recovery.takeFailed(UnknownCause.REGISTERS_UNREACHABLE);
      return;
    }
    holding.unanswered(event.position(), operation);
  }

  private boolean isConsulting(int register) {
    return state().phase() == OwnershipPhase.CONSULTING && state().target() == register;
  }

  private void ownerReplied(ChainMemberReplied event) {
    boolean isYielded = event.reply().status() == ChainMemberReply.Status.GIVEN_UP;
    if (isYielded && event.position() == Ticket.OWNER) {
      context.update(state().toBuilder().ownerGaveUp(true));
    }
    if (isAsking(event.position())) {
      recovery.ownerReplied(event.position(), event.reply());
    }
  }

  private void ownerUnreachable(ChainMemberUnreachable event) {
    if (isAsking(event.position())) {
      recovery.memberUnreachable(event.position());
    }
  }

  private boolean isAsking(int member) {
    return state().phase() == OwnershipPhase.ASKING && state().target() == member;
  }

  private void asked(int place) {
    if (place != Ticket.FIRST_SUCCESSOR || !context.isOwner()) {
      return;
    }
    OwnershipPhase phase = state().phase();
    boolean isIdle = phase == OwnershipPhase.IDLE;
    boolean isAbandoned = phase == OwnershipPhase.OWNING && !state().callerWaiting();
    if (isIdle || (isAbandoned && state().first() != Cell.SELF)) {
      holding.yieldToSuccessor();
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
          holding.close(reason);
        }
      }
      case OWNING, INTENT_PENDING -> holding.close(reason);
      case DISPATCHED, RECOVERING -> context.tell(new OwnershipAnswer.Running());
      case CLOSING, ASKING, TAKING_OVER, CONSULTING, TAKEN_AWAY ->
          context.tellUnknown(UnknownCause.HOLDER_UNREACHABLE);
      default -> {
        // The callers have been answered.
      }
    }
  }

  private void endpointEvent(OwnershipEvent event) {
    if (event instanceof NotDispatched failed && isRunning(failed.attempt())) {
      if (state().phase() == OwnershipPhase.DISPATCHED) {
        holding.notDispatched();
      }
    } else if (event instanceof EndpointRefused refused && isRunning(refused.attempt())) {
      holding.finished("refused");
    } else if (event instanceof Ended ended && isRunning(ended.attempt())) {
      holding.finished("ended");
    } else if (event instanceof StreamBroken broken && isRunning(broken.attempt())) {
      recovery.resume();
    } else if (event instanceof ResumeNotFound missing && isRecovering(missing.attempt())) {
      recovery.resumeFailed(UnknownCause.ENDPOINT_LOST_WORK);
    } else if (event instanceof ResumeUnreachable unreachable
        && isRecovering(unreachable.attempt())) {
      recovery.resumeFailed(UnknownCause.ENDPOINT_UNREACHABLE);
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
