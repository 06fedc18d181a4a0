package io.samphiredyke.core.ownership;

import static io.samphiredyke.core.ownership.Fixtures.EXPIRY;
import static io.samphiredyke.core.ownership.Fixtures.FIRST;
import static io.samphiredyke.core.ownership.Fixtures.ID;
import static io.samphiredyke.core.ownership.Fixtures.NOW;
import static io.samphiredyke.core.ownership.Fixtures.OWNER;
import static io.samphiredyke.core.ownership.Fixtures.SECOND;
import static io.samphiredyke.core.ownership.Fixtures.STRANGER;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Intent;
import io.samphiredyke.core.ownership.RegisterOperation.Outcome;
import io.samphiredyke.core.ownership.RegisterOperation.Take;
import io.samphiredyke.core.ownership.RegisterReply.Status;
import org.junit.jupiter.api.Test;

class WitnessRegisterTest {

  private static final Intent TO_A = new Intent(1, "a", "digest");
  private static final Intent TO_B = new Intent(2, "b", "digest");

  private final WitnessRegister register = register(new RegisterLimits(2, 2));

  @Test
  void firstWriterHoldsTheRegister() {
    assertThat(write(OWNER, TO_A)).isEqualTo(Status.ACCEPTED);
    assertThat(write(FIRST, new Take(0))).isEqualTo(Status.HELD_BY_OTHER);
    assertThat(write(FIRST, TO_B)).isEqualTo(Status.HELD_BY_OTHER);
    assertThat(register.read(ID).record().endpoint()).isEqualTo("a");
  }

  @Test
  void repeatedOperationIsAcceptedAndLateOneIsNot() {
    assertThat(write(OWNER, TO_A)).isEqualTo(Status.ACCEPTED);
    assertThat(write(OWNER, TO_A)).isEqualTo(Status.ACCEPTED);
    assertThat(write(OWNER, TO_B)).isEqualTo(Status.ACCEPTED);
    assertThat(write(OWNER, TO_A)).isEqualTo(Status.STALE);
    assertThat(write(OWNER, new Intent(2, "c", "digest"))).isEqualTo(Status.STALE);
    assertThat(register.read(ID).record().endpoint()).isEqualTo("b");
  }

  @Test
  void closedRegisterStaysClosed() {
    assertThat(write(OWNER, new Close(1, "shed"))).isEqualTo(Status.ACCEPTED);
    assertThat(write(OWNER, TO_B)).isEqualTo(Status.STALE);
    assertThat(write(OWNER, new Close(1, "shed"))).isEqualTo(Status.ACCEPTED);
  }

  @Test
  void outcomeNeedsTheIntentThatWasDispatched() {
    assertThat(write(OWNER, new Outcome(1, "done"))).isEqualTo(Status.ABSENT);
    write(OWNER, TO_B);
    assertThat(write(OWNER, new Outcome(1, "done"))).isEqualTo(Status.STALE);
    assertThat(write(OWNER, new Outcome(2, "done"))).isEqualTo(Status.ACCEPTED);
    assertThat(write(OWNER, new Close(2, "shed"))).isEqualTo(Status.STALE);
  }

  @Test
  void onlyOwnerAndFirstSuccessorMayWrite() {
    assertThat(write(STRANGER, TO_A)).isEqualTo(Status.NOT_PERMITTED);
    assertThat(write(SECOND, TO_A)).isEqualTo(Status.NOT_PERMITTED);
    WitnessRegister ofStranger =
        new WitnessRegister(STRANGER, RegisterLimits.DEFAULT, InvariantChecker.throwing());
    assertThat(ofStranger.apply(ID, Fixtures.ticket(), OWNER, TO_A, NOW).status())
        .isEqualTo(Status.NOT_PERMITTED);
  }

  @Test
  void refusesWhenFullAndAcceptsAgainAfterExpiry() {
    for (int sequence = 0; sequence < 2; sequence++) {
      assertThat(writeTo(sequence)).isEqualTo(Status.ACCEPTED);
    }
    assertThat(writeTo(2)).isEqualTo(Status.FULL);
    assertThat(writeTo(1)).isEqualTo(Status.ACCEPTED);
    assertThat(register.expire(EXPIRY - 1)).isZero();
    assertThat(register.expire(EXPIRY)).isEqualTo(2);
    assertThat(register.size()).isZero();
  }

  @Test
  void clockSetBackDoesNotReopenDroppedTicket() {
    write(FIRST, new Take(0));
    register.expire(EXPIRY);
    assertThat(write(OWNER, TO_A)).isEqualTo(Status.EXPIRED);
  }

  private Status write(Incarnation writer, RegisterOperation operation) {
    return register.apply(ID, Fixtures.ticket(), writer, operation, NOW).status();
  }

  private Status writeTo(int sequence) {
    RequestId id = new RequestId("token", sequence);
    return register.apply(id, Fixtures.ticket(), OWNER, TO_A, NOW).status();
  }

  private static WitnessRegister register(RegisterLimits limits) {
    return new WitnessRegister(FIRST, limits, InvariantChecker.throwing());
  }
}
