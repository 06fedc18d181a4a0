package io.samphiredyke.core.ownership;

import static io.samphiredyke.core.ownership.Fixtures.FIRST;
import static io.samphiredyke.core.ownership.Fixtures.OWNER;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.OwnershipAnswer.Conflict;
import io.samphiredyke.core.ownership.OwnershipAnswer.NotRun;
import io.samphiredyke.core.ownership.OwnershipAnswer.Redirect;
import io.samphiredyke.core.ownership.OwnershipAnswer.Unknown;
import io.samphiredyke.core.ownership.OwnershipAnswer.UnknownCause;
import io.samphiredyke.core.ownership.OwnershipDecision.AskMember;
import io.samphiredyke.core.ownership.OwnershipDecision.Claim;
import io.samphiredyke.core.ownership.OwnershipDecision.Dispatch;
import io.samphiredyke.core.ownership.OwnershipDecision.ReadRegister;
import io.samphiredyke.core.ownership.OwnershipDecision.ReleaseGrant;
import io.samphiredyke.core.ownership.OwnershipDecision.ResumeFrom;
import io.samphiredyke.core.ownership.OwnershipDecision.Tell;
import io.samphiredyke.core.ownership.OwnershipDecision.WriteRegister;
import io.samphiredyke.core.ownership.OwnershipEvent.ChainMemberUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.Ended;
import io.samphiredyke.core.ownership.OwnershipEvent.Granted;
import io.samphiredyke.core.ownership.OwnershipEvent.NotDispatched;
import io.samphiredyke.core.ownership.OwnershipEvent.Refuse;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterReplied;
import io.samphiredyke.core.ownership.OwnershipEvent.RegisterUnreachable;
import io.samphiredyke.core.ownership.OwnershipEvent.ResumeNotFound;
import io.samphiredyke.core.ownership.OwnershipEvent.StateQueried;
import io.samphiredyke.core.ownership.OwnershipEvent.Submitted;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Intent;
import io.samphiredyke.core.ownership.RegisterOperation.Outcome;
import io.samphiredyke.core.ownership.RegisterOperation.Take;
import java.util.List;
import org.junit.jupiter.api.Test;

class OwnershipMachineTest {

  private static final Intent TO_A = new Intent(1, "a", "body");
  private static final RegisterRecord OWNER_TO_A =
      new RegisterRecord(OWNER, RegisterRecord.Status.INTENDED, 1, "a", null, "body");

  private final OwnershipStateMachine owner = machine(Fixtures.ticket(), OWNER);
  private final OwnershipStateMachine first = machine(Fixtures.ticket(), FIRST);

  @Test
  void dispatchesOnceTheWitnessHasTheIntent() {
    assertThat(owner.handle(new Submitted("body"))).containsExactly(new Claim());
    assertThat(owner.handle(new Granted("a"))).containsExactly(new WriteRegister(1, TO_A));
    assertThat(owner.handle(accepted(1, TO_A))).containsExactly(new Dispatch("a", 1));
    assertThat(owner.handle(accepted(1, TO_A))).isEmpty();
    assertThat(owner.handle(new Ended(1)))
        .containsExactly(new WriteRegister(1, new Outcome(1, "ended")));
  }

  @Test
  void lateAcknowledgementOfAnEarlierAttemptDispatchesNothing() {
    dispatchToA();
    assertThat(owner.handle(new NotDispatched(1))).containsExactly(new Claim());
    Intent toB = new Intent(2, "b", "body");
    assertThat(owner.handle(new Granted("b"))).containsExactly(new WriteRegister(1, toB));
    assertThat(owner.handle(accepted(1, TO_A))).isEmpty();
    assertThat(owner.handle(accepted(1, toB))).containsExactly(new Dispatch("b", 2));
  }

  @Test
  void ownerUsesTheSecondRegisterWhenTheFirstIsUnreachable() {
    owner.handle(new Submitted("body"));
    owner.handle(new Granted("a"));
    assertThat(owner.handle(new RegisterUnreachable(1, TO_A, true)))
        .containsExactly(new WriteRegister(2, TO_A));
    assertThat(owner.handle(accepted(2, TO_A))).containsExactly(new Dispatch("a", 1));
  }

  @Test
  void refusalIsToldAfterTheWitnessHasTheClosing() {
    owner.handle(new Submitted("body"));
    Close close = new Close(0, "shed");
    assertThat(owner.handle(new Refuse("shed"))).contains(new WriteRegister(1, close));
    assertThat(owner.handle(accepted(1, close))).containsExactly(new Tell(new NotRun("shed")));
    assertThat(owner.handle(new Granted("a"))).containsExactly(new ReleaseGrant("a"));
  }

  @Test
  void refusalIsUnknownWhileNoRegisterAnswers() {
    owner.handle(new Submitted("body"));
    Close close = new Close(0, "shed");
    owner.handle(new Refuse("shed"));
    owner.handle(new RegisterUnreachable(1, close, true));
    assertThat(owner.handle(new RegisterUnreachable(2, close, true)))
        .containsExactly(new Tell(new Unknown(UnknownCause.REGISTERS_UNREACHABLE)));
    assertThat(owner.handle(new Submitted("body"))).containsExactly(new WriteRegister(1, close));
  }

  @Test
  void pausedOwnerFindsTheRegisterTakenAndYields() {
    owner.handle(new Submitted("body"));
    owner.handle(new Granted("a"));
    RegisterRecord taken =
        new RegisterRecord(FIRST, RegisterRecord.Status.TAKEN, 0, null, null, null);
    assertThat(owner.handle(replied(1, TO_A, RegisterReply.Status.HELD_BY_OTHER, taken)))
        .containsExactly(new ReleaseGrant("a"), new Tell(new Redirect(1)));
    assertThat(owner.reply().status()).isEqualTo(ChainMemberReply.Status.GIVEN_UP);
  }

  @Test
  void ownerThatNeverSawTheRequestYieldsWhenAsked() {
    owner.handle(new StateQueried(Ticket.FIRST_SUCCESSOR));
    assertThat(owner.reply().status()).isEqualTo(ChainMemberReply.Status.GIVEN_UP);
  }

  @Test
  void successorTakesBothRegistersBeforeItClaims() {
    assertThat(first.handle(new Submitted("body"))).containsExactly(new AskMember(0));
    assertThat(first.handle(new ChainMemberUnreachable(0)))
        .containsExactly(new WriteRegister(1, new Take(0)));
    assertThat(first.handle(accepted(1, new Take(0))))
        .containsExactly(new WriteRegister(2, new Take(0)));
    assertThat(first.handle(accepted(2, new Take(0)))).containsExactly(new Claim());
    assertThat(first.handle(new Granted("a"))).containsExactly(new WriteRegister(2, TO_A));
    assertThat(first.handle(accepted(2, TO_A))).containsExactly(new Dispatch("a", 1));
  }

  @Test
  void repeatedAcknowledgementOfATakeChangesNothing() {
    first.handle(new Submitted("body"));
    first.handle(new ChainMemberUnreachable(0));
    first.handle(accepted(1, new Take(0)));
    first.handle(accepted(2, new Take(0)));
    assertThat(first.handle(accepted(2, new Take(0)))).isEmpty();
    assertThat(first.state().phase()).isEqualTo(OwnershipPhase.OWNING);
  }

  @Test
  void ownerThatYieldedBarsItsLostSuccessorAtTheSecondRegister() {
    owner.handle(new StateQueried(Ticket.FIRST_SUCCESSOR));
    owner.handle(new Submitted("body"));
    List<OwnershipDecision> decisions = owner.handle(new ChainMemberUnreachable(1));
    assertThat(decisions).hasSize(1);
    Close bar = (Close) ((WriteRegister) decisions.get(0)).operation();
    assertThat(owner.handle(accepted(2, bar))).containsExactly(new Tell(new NotRun(bar.reason())));
  }

  @Test
  void successorWithoutThePayloadClosesWhatItTook() {
    first.handle(new Submitted(null));
    first.handle(new ChainMemberUnreachable(0));
    first.handle(accepted(1, new Take(0)));
    assertThat(first.handle(accepted(2, new Take(0)))).hasAtLeastOneElementOfType(Tell.class);
    assertThat(first.state().phase()).isEqualTo(OwnershipPhase.CLOSED);
  }

  @Test
  void missingAtTheEndpointIsNeverToldAsNotRun() {
    successorFindsIntent();
    assertThat(first.handle(new ResumeNotFound(1))).containsExactly(new ReadRegister(2));
    assertThat(
            first.handle(
                new RegisterReplied(2, null, new RegisterReply(RegisterReply.Status.ABSENT, null))))
        .containsExactly(new Tell(new Unknown(UnknownCause.ENDPOINT_LOST_WORK)));
  }

  @Test
  void successorFindsTheEndpointThatTheOwnerNamedAtTheSecondRegister() {
    successorFindsIntent();
    first.handle(new ResumeNotFound(1));
    RegisterRecord toB =
        new RegisterRecord(OWNER, RegisterRecord.Status.INTENDED, 2, "b", null, "body");
    assertThat(first.handle(replied(2, null, RegisterReply.Status.ACCEPTED, toB)))
        .containsExactly(new ResumeFrom("b", 2));
  }

  @Test
  void anotherBodyUnderTheSameIdIsAConflict() {
    owner.handle(new Submitted("body"));
    assertThat(owner.handle(new Submitted("other"))).containsExactly(new Tell(new Conflict()));
    first.handle(new Submitted("other"));
    first.handle(new ChainMemberUnreachable(0));
    assertThat(
            first.handle(replied(1, new Take(0), RegisterReply.Status.HELD_BY_OTHER, OWNER_TO_A)))
        .containsExactly(new Tell(new Conflict()));
  }

  private void dispatchToA() {
    owner.handle(new Submitted("body"));
    owner.handle(new Granted("a"));
    owner.handle(accepted(1, TO_A));
  }

  private void successorFindsIntent() {
    first.handle(new Submitted("body"));
    first.handle(new ChainMemberUnreachable(0));
    assertThat(
            first.handle(replied(1, new Take(0), RegisterReply.Status.HELD_BY_OTHER, OWNER_TO_A)))
        .containsExactly(new ResumeFrom("a", 1));
  }

  private static RegisterReplied accepted(int place, RegisterOperation operation) {
    return replied(place, operation, RegisterReply.Status.ACCEPTED, OWNER_TO_A);
  }

  private static RegisterReplied replied(
      int place, RegisterOperation operation, RegisterReply.Status status, RegisterRecord record) {
    return new RegisterReplied(place, operation, new RegisterReply(status, record));
  }

  private static OwnershipStateMachine machine(Ticket ticket, Incarnation self) {
    return new OwnershipStateMachine(ticket, self, InvariantChecker.throwing());
  }
}
