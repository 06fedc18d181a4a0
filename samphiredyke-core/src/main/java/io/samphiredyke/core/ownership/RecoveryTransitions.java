package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.AskMember;
import io.samphiredyke.core.ownership.OwnershipDecision.ReadRegister;
import io.samphiredyke.core.ownership.OwnershipDecision.ResumeFrom;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Take;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Transitions of a process that receives a request first owned by another process. */
final class RecoveryTransitions {

  /** Attempt number of the owner's final close, higher than that of any attempt it has made. */
  private static final int FINAL_ATTEMPT = Integer.MAX_VALUE;

  private static final String SUCCESSOR_FENCED_OFF = "not dispatched before its successor was lost";
  private static final String CLOSED_ELSEWHERE = "closed by its owner";

  private final OwnershipContext context;

  RecoveryTransitions(OwnershipContext context) {
    this.context = context;
  }

  private OwnershipState state() {
    return context.state();
  }

  void queryMember(int member) {
    // Only the first successor may permanently rely on the owner's statement that it has yielded.
    boolean isOwnerQueriedAgain = member == Ticket.OWNER && !context.isFirstSuccessor();
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.ASKING)
            .ownerYielded(state().ownerYielded() && !isOwnerQueriedAgain)
            .target(member)
            .awaitedWrite(null)
            .triedPositions(0)
            .endpoint(null)
            .attempt(0));
    context.decide(new AskMember(member));
  }

  /** Acts on the reply of a member; a member that has yielded makes no further decisions. */
  void memberReplied(int member, ChainMemberReply reply) {
    switch (reply.status()) {
      case CLOSED -> {
        context.returnToRestingPhase();
        String reason = Objects.requireNonNullElse(reply.reason(), CLOSED_ELSEWHERE);
        context.answerCallers(new OwnershipAnswer.NotRun(reason));
      }
      case HOLDS -> redirect(member);
      case INTENDED -> recover(Objects.requireNonNull(reply.endpoint()), reply.attempt(), 0);
      case NOT_HOLDING -> notHolding(member);
      default -> memberUnreachable(member);
    }
  }

  private void notHolding(int member) {
    if (member == Ticket.OWNER && context.isFirstSuccessor()) {
      takeOver();
      return;
    }
    redirect(member);
  }

  void memberUnreachable(int member) {
    if (member == Ticket.OWNER && context.isFirstSuccessor()) {
      takeOver();
      return;
    }
    if (member == Ticket.OWNER && context.chainLength() > Ticket.FIRST_SUCCESSOR) {
      queryMember(Ticket.FIRST_SUCCESSOR);
      return;
    }
    if (context.isOwner() && context.chainLength() == Ticket.MAX_CHAIN_MEMBERS) {
      fenceOffSuccessor();
      return;
    }
    if (state().ownerYielded()) {
      // The owner is reachable and can fence off the unreachable successor.
      redirect(Ticket.OWNER);
      return;
    }
    context.markTried(Ticket.FIRST_SUCCESSOR);
    readNextRegister(UnknownCause.REGISTERS_UNREACHABLE);
  }

  /**
   * Prevents the first successor from dispatching, after the owner has yielded to it.
   *
   * <p>The owner itself will never dispatch, and the first successor needs the second register for
   * its intent: if the owner writes to that register first, the request never runs.
   */
  private void fenceOffSuccessor() {
    context.update(
        state().toBuilder().phase(OwnershipPhase.TAKING_OVER).reason(SUCCESSOR_FENCED_OFF));
    context.write(Ticket.SECOND_SUCCESSOR, new Close(FINAL_ATTEMPT, SUCCESSOR_FENCED_OFF));
  }

  private void redirect(int member) {
    context.returnToRestingPhase();
    context.answerCallers(new OwnershipAnswer.Redirect(member));
  }

  private void takeOver() {
    context.enterPhase(OwnershipPhase.TAKING_OVER);
    context.write(Ticket.FIRST_SUCCESSOR, new Take(0));
  }

  /**
   * Handles the reply to a take, or to the close by which an owner fences off its successor.
   *
   * @return whether this process now has the exclusive right to decide
   */
  boolean takeReplied(int register, RegisterReply reply) {
    if (reply.status() == RegisterReply.Status.HELD_BY_OTHER) {
      actOnForeignRecord(register, Objects.requireNonNull(reply.record()));
      return false;
    }
    if (reply.status() != RegisterReply.Status.ACCEPTED) {
      takeFailed(UnknownCause.REGISTER_REFUSED);
      return false;
    }
    if (context.isExclusive()) {
      return true;
    }
    context.write(Ticket.SECOND_SUCCESSOR, new Take(0));
    return false;
  }

  void takeFailed(UnknownCause cause) {
    context.returnToRestingPhase();
    context.answerUnknown(cause);
  }

  /**
   * Acts on a record that another process holds.
   *
   * @param register position of the register that contains the record
   */
  void actOnForeignRecord(int register, RegisterRecord record) {
    if (hasDifferentBody(record)) {
      context.returnToRestingPhase();
      context.answerCallers(new OwnershipAnswer.Conflict());
      return;
    }
    if (record.status() == RegisterRecord.Status.CLOSED) {
      context.returnToRestingPhase();
      String reason = Objects.requireNonNullElse(record.detail(), CLOSED_ELSEWHERE);
      context.answerCallers(new OwnershipAnswer.NotRun(reason));
      return;
    }
    String endpoint = record.endpoint();
    if (endpoint == null) {
      context.returnToRestingPhase();
      context.answerUnknown(UnknownCause.HOLDER_UNREACHABLE);
      return;
    }
    boolean isFinished = record.status() == RegisterRecord.Status.FINISHED;
    context.update(state().toBuilder().finished(isFinished));
    recover(endpoint, record.attempt(), context.maskOf(register));
  }

  private boolean hasDifferentBody(RegisterRecord record) {
    String known = state().bodyDigest();
    return known != null && record.bodyDigest() != null && !known.equals(record.bodyDigest());
  }

  private void recover(String endpoint, int attempt, int readRegisters) {
    context.update(
        state().toBuilder()
            .endpoint(endpoint)
            .attempt(attempt)
            .triedPositions(state().triedPositions() | readRegisters)
            .awaitedWrite(null));
    resume();
  }

  void resume() {
    context.enterPhase(OwnershipPhase.RECOVERING);
    String endpoint = Objects.requireNonNull(state().endpoint());
    context.decide(new ResumeFrom(endpoint, state().attempt()));
  }

  /** Handles an endpoint that cannot provide the response. */
  void resumeFailed(UnknownCause cause) {
    if (state().dispatched()) {
      context.enterPhase(OwnershipPhase.UNKNOWN);
      answerResponseLost(cause);
      return;
    }
    if (context.rules().isNotFoundTakenAsNotRun()) {
      context.returnToRestingPhase();
      context.answerCallers(new OwnershipAnswer.NotRun("the endpoint does not know the request"));
      return;
    }
    readNextRegister(cause);
  }

  /** Reads the next register that may contain a later intent; gives up if none is left. */
  private void readNextRegister(UnknownCause cause) {
    for (int register = 1; register < context.chainLength(); register++) {
      if (context.isTried(register)) {
        continue;
      }
      context.update(
          state().toBuilder().phase(OwnershipPhase.CONSULTING).target(register).awaitedWrite(null));
      context.decide(new ReadRegister(register));
      return;
    }
    context.returnToRestingPhase();
    answerResponseLost(cause);
  }

  private void answerResponseLost(UnknownCause cause) {
    if (state().finished()) {
      context.answerCallers(new OwnershipAnswer.Ran());
      return;
    }
    context.answerUnknown(cause);
  }

  /**
   * Handles the reply to a read.
   *
   * @param reply the reply, or null if the register is unreachable
   */
  void readReplied(int register, @Nullable RegisterReply reply) {
    context.markTried(register);
    if (reply == null) {
      readNextRegister(UnknownCause.REGISTERS_UNREACHABLE);
      return;
    }
    RegisterRecord record = reply.record();
    if (record == null) {
      readNextRegister(lostWorkOr(UnknownCause.HOLDER_UNREACHABLE));
      return;
    }
    boolean isClosed = record.status() == RegisterRecord.Status.CLOSED;
    boolean isLater = record.endpoint() != null && record.attempt() > state().attempt();
    if (isClosed || isLater) {
      actOnForeignRecord(register, record);
      return;
    }
    readNextRegister(lostWorkOr(UnknownCause.HOLDER_UNREACHABLE));
  }

  private UnknownCause lostWorkOr(UnknownCause other) {
    return state().endpoint() == null ? other : UnknownCause.ENDPOINT_LOST_WORK;
  }
}
