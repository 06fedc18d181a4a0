package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import org.jspecify.annotations.Nullable;

/**
 * The conditions on which the safety of the protocol rests.
 *
 * <p>They are in one place so that a test can take each away and see the model checker object.
 */
class OwnershipRules {

  /** The rules that are used in production. */
  static final OwnershipRules STANDARD = new OwnershipRules();

  /**
   * Returns whether a process alone may decide about the request, now and for good.
   *
   * <p>The owner needs one of the two registers, the first successor needs both. As a register has
   * one holder for good, the two conditions exclude each other. The first successor needs only its
   * own register if the owner has said that it yields, or if there is no second one.
   *
   * @param state state of the process
   * @param chainLength number of members of the chain
   * @param place place of the process in the chain
   */
  boolean isExclusive(OwnershipState state, int chainLength, int place) {
    if (place == Ticket.OWNER) {
      return chainLength == 1
          || state.firstRegister() == RegisterHolder.SELF
          || state.secondRegister() == RegisterHolder.SELF;
    }
    if (place != Ticket.FIRST_SUCCESSOR || state.firstRegister() != RegisterHolder.SELF) {
      return false;
    }
    return chainLength == 2
        || state.ownerYielded()
        || state.secondRegister() == RegisterHolder.SELF;
  }

  /**
   * Returns whether an answer belongs to the write that is awaited, and not to an earlier one.
   *
   * @param state state of the process
   * @param place place of the register that answered
   * @param operation the write that it answers
   */
  boolean isAwaited(OwnershipState state, int place, @Nullable RegisterOperation operation) {
    RegisterOperation awaited = state.awaitedWrite();
    return awaited != null && state.target() == place && awaited.equals(operation);
  }

  /** Returns whether a dispatch waits until a register has acknowledged its intent. */
  boolean isAcknowledgementNeeded() {
    return true;
  }

  /** Returns whether an endpoint that does not know a request proves that it never will. */
  boolean isNotFoundTakenAsNotRun() {
    return false;
  }
}
