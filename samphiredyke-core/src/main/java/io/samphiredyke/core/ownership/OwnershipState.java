package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * Immutable state of an {@link OwnershipStateMachine}.
 *
 * @param phase current phase of the process
 * @param callerWaiting whether a caller is waiting for an answer
 * @param bodyDigest digest of the body received here, or null if only the request id was sent
 * @param attempt number of the latest attempt
 * @param endpoint the endpoint of that attempt
 * @param dispatched whether that attempt may have reached the endpoint
 * @param finished whether the endpoint is known to have finished the request
 * @param firstRegister what is known of the register of the first successor
 * @param secondRegister what is known of the register of the second successor
 * @param ownerYielded whether the owner has stated that it yielded
 * @param target position of the member or register whose reply is awaited
 * @param awaitedWrite the write whose reply is awaited
 * @param triedPositions bit set of the positions already tried for the current write or read
 * @param reason why the request was closed
 */
public record OwnershipState(
    OwnershipPhase phase,
    boolean callerWaiting,
    @Nullable String bodyDigest,
    int attempt,
    @Nullable String endpoint,
    boolean dispatched,
    boolean finished,
    RegisterHolder firstRegister,
    RegisterHolder secondRegister,
    boolean ownerYielded,
    int target,
    @Nullable RegisterOperation awaitedWrite,
    int triedPositions,
    @Nullable String reason) {

  /** Holder of a register, as far as the replies to this process's writes have shown it. */
  public enum RegisterHolder {
    /** This process has not written to the register. */
    UNTOUCHED,
    /** This process has sent a write and has not received a reply. */
    UNANSWERED,
    /** This process permanently holds the register. */
    SELF,
    /** Another process permanently holds the register. */
    OTHER
  }

  /** Returns the state of a process that has not seen the request yet. */
  public static OwnershipState initial() {
    return new Builder().build();
  }

  /**
   * Returns what is known of the holder of a register.
   *
   * @param position position of the register in the chain
   */
  public RegisterHolder holderOf(int position) {
    return position == Ticket.FIRST_SUCCESSOR ? firstRegister : secondRegister;
  }

  /** Returns a builder initialized with this state. */
  Builder toBuilder() {
    Builder builder = new Builder();
    builder.phase = phase;
    builder.callerWaiting = callerWaiting;
    builder.bodyDigest = bodyDigest;
    builder.attempt = attempt;
    builder.endpoint = endpoint;
    builder.dispatched = dispatched;
    builder.finished = finished;
    builder.firstRegister = firstRegister;
    builder.secondRegister = secondRegister;
    builder.ownerYielded = ownerYielded;
    builder.target = target;
    builder.awaitedWrite = awaitedWrite;
    builder.triedPositions = triedPositions;
    builder.reason = reason;
    return builder;
  }

  /** Builder of {@link OwnershipState}. */
  static final class Builder {
    private OwnershipPhase phase = OwnershipPhase.IDLE;
    private boolean callerWaiting;
    private @Nullable String bodyDigest;
    private int attempt;
    private @Nullable String endpoint;
    private boolean dispatched;
    private boolean finished;
    private RegisterHolder firstRegister = RegisterHolder.UNTOUCHED;
    private RegisterHolder secondRegister = RegisterHolder.UNTOUCHED;
    private boolean ownerYielded;
    private int target = Ticket.NOT_IN_CHAIN;
    private @Nullable RegisterOperation awaitedWrite;
    private int triedPositions;
    private @Nullable String reason;

    Builder phase(OwnershipPhase value) {
      phase = value;
      return this;
    }

    Builder callerWaiting(boolean value) {
      callerWaiting = value;
      return this;
    }

    Builder bodyDigest(@Nullable String value) {
      bodyDigest = value;
      return this;
    }

    Builder attempt(int value) {
      attempt = value;
      return this;
    }

    Builder endpoint(@Nullable String value) {
      endpoint = value;
      return this;
    }

    Builder dispatched(boolean value) {
      dispatched = value;
      return this;
    }

    Builder finished(boolean value) {
      finished = value;
      return this;
    }

    Builder holderOf(int position, RegisterHolder value) {
      if (position == Ticket.FIRST_SUCCESSOR) {
        firstRegister = value;
      } else {
        secondRegister = value;
      }
      return this;
    }

    Builder ownerYielded(boolean value) {
      ownerYielded = value;
      return this;
    }

    Builder target(int value) {
      target = value;
      return this;
    }

    Builder awaitedWrite(@Nullable RegisterOperation value) {
      awaitedWrite = value;
      return this;
    }

    Builder triedPositions(int value) {
      triedPositions = value;
      return this;
    }

    Builder reason(@Nullable String value) {
      reason = value;
      return this;
    }

    OwnershipState build() {
      return new OwnershipState(
          phase,
          callerWaiting,
          bodyDigest,
          attempt,
          endpoint,
          dispatched,
          finished,
          firstRegister,
          secondRegister,
          ownerYielded,
          target,
          awaitedWrite,
          triedPositions,
          reason);
    }
  }
}
