package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * The whole state of an {@link OwnershipStateMachine}, immutable.
 *
 * @param phase how far the process has got
 * @param callerWaiting whether a caller waits for an answer
 * @param bodyDigest digest of the body that is here, or null if only the id came
 * @param attempt the latest attempt
 * @param endpoint the endpoint of that attempt
 * @param dispatched whether that attempt may have reached the endpoint
 * @param finished whether the endpoint is known to have finished
 * @param firstRegister what is known of the register of the first successor
 * @param secondRegister what is known of the register of the second successor
 * @param ownerYielded whether the owner said that it has yielded
 * @param target place of the member or register whose answer is awaited
 * @param awaitedWrite the write whose answer is awaited
 * @param triedPositions bit set of the places that did not answer the current write or read
 * @param reason why the request is closed
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

  /** What a process knows of a register, as its own writes were answered. */
  public enum RegisterHolder {
    /** Nothing was written there. */
    UNTOUCHED,
    /** Something was sent there and not answered. */
    UNANSWERED,
    /** This process holds it for good. */
    SELF,
    /** Another process holds it for good. */
    OTHER
  }

  /** Returns the state of a process that has not heard of the request. */
  public static OwnershipState initial() {
    return new Builder().build();
  }

  /**
   * Returns what is known of a register.
   *
   * @param place place of the register in the chain
   */
  public RegisterHolder holderOf(int place) {
    return place == Ticket.FIRST_SUCCESSOR ? firstRegister : secondRegister;
  }

  /** Returns a builder that starts from this state. */
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

  /** Builds a state. */
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

    Builder holderOf(int place, RegisterHolder value) {
      if (place == Ticket.FIRST_SUCCESSOR) {
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
