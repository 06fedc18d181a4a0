package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.OwnershipState.RegisterHolder;
import org.jspecify.annotations.Nullable;

/**
 * Conditions that the safety of the ownership protocol depends on.
 *
 * <p>They are collected here so that a test can disable each one and verify that the model checker
 * then finds a violation.
 */
class OwnershipRules {

  /** The rules used in production. */
  static final OwnershipRules STANDARD = new OwnershipRules();

  /**
   * Returns whether a process has the exclusive and permanent right to decide about the request.
   *
   * <p>The owner needs to hold one of the two registers, the first successor both. Because a
   * register never changes its holder, the two conditions are mutually exclusive. The first
   * successor needs only its own register if the owner has yielded or there is no second register.
   *
   * @param state state of the process
   * @param chainLength number of members of the chain
   * @param position position of the process in the chain
   */
  boolean isExclusive(OwnershipState state, int chainLength, int position) {
    if (position == Ticket.OWNER) {
      return chainLength == 1
          || state.firstRegister() == RegisterHolder.SELF
          || state.secondRegister() == RegisterHolder.SELF;
    }
    if (position != Ticket.FIRST_SUCCESSOR || state.firstRegister() != RegisterHolder.SELF) {
      return false;
    }
    return chainLength == 2
        || state.ownerYielded()
        || state.secondRegister() == RegisterHolder.SELF;
  }

  /**
   * Returns whether a reply belongs to the awaited write and not to an earlier one.
   *
   * @param state state of the process
   * @param position position of the register that replied
   * @param operation the write that it replies to
   */
  boolean isAwaited(OwnershipState state, int position, @Nullable RegisterOperation operation) {
    RegisterOperation awaited = state.awaitedWrite();
    return awaited != null && state.target() == position && awaited.equals(operation);
  }

  /** Returns whether a dispatch must wait until a register has acknowledged its intent. */
  boolean isAcknowledgementNeeded() {
    return true;
  }

  /** Returns whether a request that is unknown to its endpoint counts as never run. */
  boolean isNotFoundTakenAsNotRun() {
    return false;
  }
}
