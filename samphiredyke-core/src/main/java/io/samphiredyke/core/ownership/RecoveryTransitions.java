package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.AskMember;
import io.samphiredyke.core.ownership.OwnershipDecision.ReadRegister;
import io.samphiredyke.core.ownership.OwnershipDecision.ResumeFrom;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Take;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Steps of a process to which a request comes that another one owned first. */
final class RecoveryTransitions {

  /** Attempt of an owner that makes no further one, above all that it may have made. */
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
    // Only the first successor may rely for good on the owner's word that it yields.
    boolean isAskedAnew = member == Ticket.OWNER && !context.isFirstSuccessor();
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.ASKING)
            .ownerYielded(state().ownerYielded() && !isAskedAnew)
            .target(member)
            .awaitedWrite(null)
            .triedPositions(0)
            .endpoint(null)
            .attempt(0));
    context.decide(new AskMember(member));
  }

  /** Acts on the answer of a member; one that has given up decides nothing more. */
  void memberReplied(int member, ChainMemberReply reply) {
    switch (reply.status()) {
      case CLOSED -> {
        context.returnToRestingPhase();
        String reason = Objects.requireNonNullElse(reply.reason(), CLOSED_ELSEWHERE);
        context.tellCallers(new OwnershipAnswer.NotRun(reason));
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
      // The owner answers, and can bar the successor that does not.
      redirect(Ticket.OWNER);
      return;
    }
    context.markTried(Ticket.FIRST_SUCCESSOR);
    readNextRegister(UnknownCause.REGISTERS_UNREACHABLE);
  }

  /**
   * Keeps the first successor from dispatching, after the owner has yielded to it.
   *
   * <p>The owner itself never dispatches any more, and the first successor needs the second
   * register for its intent: if the owner comes first there, the request never runs.
   */
  private void fenceOffSuccessor() {
    context.update(
        state().toBuilder().phase(OwnershipPhase.TAKING_OVER).reason(SUCCESSOR_FENCED_OFF));
    context.write(Ticket.SECOND_SUCCESSOR, new Close(FINAL_ATTEMPT, SUCCESSOR_FENCED_OFF));
  }

  private void redirect(int member) {
    context.returnToRestingPhase();
    context.tellCallers(new OwnershipAnswer.Redirect(member));
  }

  private void takeOver() {
    context.enterPhase(OwnershipPhase.TAKING_OVER);
    context.write(Ticket.FIRST_SUCCESSOR, new Take(0));
  }

  /**
   * Handles the answer to a take, or to the bar of an owner that has yielded.
   *
   * @return whether this process alone may now decide
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
    context.tellUnknown(cause);
  }

  /**
   * Acts on a record of another holder.
   *
   * @param register place of the register that has it
   */
  void actOnForeignRecord(int register, RegisterRecord record) {
    if (hasDifferentBody(record)) {
      context.returnToRestingPhase();
      context.tellCallers(new OwnershipAnswer.Conflict());
      return;
    }
    if (record.status() == RegisterRecord.Status.CLOSED) {
      context.returnToRestingPhase();
      String reason = Objects.requireNonNullElse(record.detail(), CLOSED_ELSEWHERE);
      context.tellCallers(new OwnershipAnswer.NotRun(reason));
      return;
    }
    String endpoint = record.endpoint();
    if (endpoint == null) {
      context.returnToRestingPhase();
      context.tellUnknown(UnknownCause.HOLDER_UNREACHABLE);
      return;
    }
    boolean isFinished = record.status() == RegisterRecord.Status.FINISHED;
    context.update(state().toBuilder().finished(isFinished));
    recover(endpoint, record.attempt(), context.maskOf(register));
  }

  private boolean hasDifferentBody(RegisterRecord record) {
    String here = state().bodyDigest();
    return here != null && record.bodyDigest() != null && !here.equals(record.bodyDigest());
  }

  private void recover(String endpoint, int attempt, int consulted) {
    context.update(
        state().toBuilder()
            .endpoint(endpoint)
            .attempt(attempt)
            .triedPositions(state().triedPositions() | consulted)
            .awaitedWrite(null));
    resume();
  }

  void resume() {
    context.enterPhase(OwnershipPhase.RECOVERING);
    String endpoint = Objects.requireNonNull(state().endpoint());
    context.decide(new ResumeFrom(endpoint, state().attempt()));
  }

  /** Handles an endpoint from which the answer cannot be had. */
  void resumeFailed(UnknownCause cause) {
    if (state().dispatched()) {
      context.enterPhase(OwnershipPhase.UNKNOWN);
      tellAnswerLost(cause);
      return;
    }
    if (context.rules().isNotFoundTakenAsNotRun()) {
      context.returnToRestingPhase();
      context.tellCallers(new OwnershipAnswer.NotRun("the endpoint does not know the request"));
      return;
    }
    readNextRegister(cause);
  }

  /** Reads the next register that may name a later intent, or gives up. */
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
    tellAnswerLost(cause);
  }

  private void tellAnswerLost(UnknownCause cause) {
    if (state().finished()) {
      context.tellCallers(new OwnershipAnswer.Ran());
      return;
    }
    context.tellUnknown(cause);
  }

  /**
   * Handles the answer to a read.
   *
   * @param reply the answer, or null if the register could not be reached
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
