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
final class RecoverySteps {

  /** Attempt of an owner that makes no further one, above all that it may have made. */
  private static final int LAST_ATTEMPT = Integer.MAX_VALUE;

  private static final String SUCCESSOR_BARRED = "not dispatched before its successor was lost";
  private static final String CLOSED_ELSEWHERE = "closed by its owner";

  private final OwnershipContext context;

  RecoverySteps(OwnershipContext context) {
    this.context = context;
  }

  private OwnershipState state() {
    return context.state();
  }

  void ask(int member) {
    // Only the first successor may rely for good on the owner's word that it yields.
    boolean isAskedAnew = member == Ticket.OWNER && !context.isFirstSuccessor();
    context.update(
        state().toBuilder()
            .phase(OwnershipPhase.ASKING)
            .ownerGaveUp(state().ownerGaveUp() && !isAskedAnew)
            .target(member)
            .awaited(null)
            .tried(0)
            .endpoint(null)
            .attempt(0));
    context.decide(new AskMember(member));
  }

  /** Acts on the answer of a member; one that has given up decides nothing more. */
  void ownerReplied(int member, ChainMemberReply reply) {
    switch (reply.status()) {
      case CLOSED -> {
        context.rest();
        String reason = Objects.requireNonNullElse(reply.reason(), CLOSED_ELSEWHERE);
        context.tell(new OwnershipAnswer.NotRun(reason));
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
      ask(Ticket.FIRST_SUCCESSOR);
      return;
    }
    if (context.isOwner() && context.chainLength() == Ticket.MAX_CHAIN_MEMBERS) {
      bar();
      return;
    }
    if (state().ownerGaveUp()) {
      // The owner answers, and can bar the successor that does not.
      redirect(Ticket.OWNER);
      return;
    }
    context.markTried(Ticket.FIRST_SUCCESSOR);
    consultNext(UnknownCause.REGISTERS_UNREACHABLE);
  }

  /**
   * Keeps the first successor from dispatching, after the owner has yielded to it.
   *
   * <p>The owner itself never dispatches any more, and the first successor needs the second
   * register for its intent: if the owner comes first there, the request never runs.
   */
  private void bar() {
    context.update(state().toBuilder().phase(OwnershipPhase.TAKING_OVER).reason(SUCCESSOR_BARRED));
    context.write(Ticket.SECOND_SUCCESSOR, new Close(LAST_ATTEMPT, SUCCESSOR_BARRED));
  }

  private void redirect(int member) {
    context.rest();
    context.tell(new OwnershipAnswer.Redirect(member));
  }

  private void takeOver() {
    context.enter(OwnershipPhase.TAKING_OVER);
    context.write(Ticket.FIRST_SUCCESSOR, new Take(0));
  }

  /**
   * Handles the answer to a take, or to the bar of an owner that has yielded.
   *
   * @return whether this process alone may now decide
   */
  boolean takeReplied(int register, RegisterReply reply) {
    if (reply.status() == RegisterReply.Status.HELD_BY_OTHER) {
      follow(register, Objects.requireNonNull(reply.record()));
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
    context.rest();
    context.tellUnknown(cause);
  }

  /**
   * Acts on a record of another holder.
   *
   * @param register place of the register that has it
   */
  void follow(int register, RegisterRecord record) {
    if (isOtherBody(record)) {
      context.rest();
      context.tell(new OwnershipAnswer.Conflict());
      return;
    }
    if (record.status() == RegisterRecord.Status.CLOSED) {
      context.rest();
      String reason = Objects.requireNonNullElse(record.detail(), CLOSED_ELSEWHERE);
      context.tell(new OwnershipAnswer.NotRun(reason));
      return;
    }
    String endpoint = record.endpoint();
    if (endpoint == null) {
      context.rest();
      context.tellUnknown(UnknownCause.HOLDER_UNREACHABLE);
      return;
    }
    boolean isFinished = record.status() == RegisterRecord.Status.FINISHED;
    context.update(state().toBuilder().finished(isFinished));
    recover(endpoint, record.attempt(), context.bit(register));
  }

  private boolean isOtherBody(RegisterRecord record) {
    String here = state().bodyDigest();
    return here != null && record.bodyDigest() != null && !here.equals(record.bodyDigest());
  }

  private void recover(String endpoint, int attempt, int consulted) {
    context.update(
        state().toBuilder()
            .endpoint(endpoint)
            .attempt(attempt)
            .tried(state().tried() | consulted)
            .awaited(null));
    resume();
  }

  void resume() {
    context.enter(OwnershipPhase.RECOVERING);
    String endpoint = Objects.requireNonNull(state().endpoint());
    context.decide(new ResumeFrom(endpoint, state().attempt()));
  }

  /** Handles an endpoint from which the answer cannot be had. */
  void resumeFailed(UnknownCause cause) {
    if (state().dispatched()) {
      context.enter(OwnershipPhase.UNKNOWN);
      tellLost(cause);
      return;
    }
    if (context.rules().isMissingTakenAsNotRun()) {
      context.rest();
      context.tell(new OwnershipAnswer.NotRun("the endpoint does not know the request"));
      return;
    }
    consultNext(cause);
  }

  /** Reads the next register that may name a later intent, or gives up. */
  private void consultNext(UnknownCause cause) {
    for (int register = 1; register < context.chainLength(); register++) {
      if (context.isTried(register)) {
        continue;
      }
      context.update(
          state().toBuilder().phase(OwnershipPhase.CONSULTING).target(register).awaited(null));
      context.decide(new ReadRegister(register));
      return;
    }
    context.rest();
    tellLost(cause);
  }

  private void tellLost(UnknownCause cause) {
    if (state().finished()) {
      context.tell(new OwnershipAnswer.Ran());
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
      consultNext(UnknownCause.REGISTERS_UNREACHABLE);
      return;
    }
    RegisterRecord record = reply.record();
    if (record == null) {
      consultNext(lostOr(UnknownCause.HOLDER_UNREACHABLE));
      return;
    }
    boolean isClosed = record.status() == RegisterRecord.Status.CLOSED;
    boolean isLater = record.endpoint() != null && record.attempt() > state().attempt();
    if (isClosed || isLater) {
      follow(register, record);
      return;
    }
    consultNext(lostOr(UnknownCause.HOLDER_UNREACHABLE));
  }

  private UnknownCause lostOr(UnknownCause other) {
    return state().endpoint() == null ? other : UnknownCause.ENDPOINT_LOST_WORK;
  }
}
