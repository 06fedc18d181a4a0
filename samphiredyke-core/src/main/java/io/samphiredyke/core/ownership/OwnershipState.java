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
 * @param first what is known of the register of the first successor
 * @param second what is known of the register of the second successor
 * @param ownerGaveUp whether the owner said that it has yielded
 * @param target place of the member or register whose answer is awaited
 * @param awaited the write whose answer is awaited
 * @param tried bit set of the places that did not answer the current write or read
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
    Cell first,
    Cell second,
    boolean ownerGaveUp,
    int target,
    @Nullable RegisterOperation awaited,
    int tried,
    @Nullable String reason) {

  /** What a process knows of a register, as its own writes were answered. */
  public enum Cell {
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
  public Cell cell(int place) {
    return place == Ticket.FIRST_SUCCESSOR ? first : second;
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
    builder.first = first;
    builder.second = second;
    builder.ownerGaveUp = ownerGaveUp;
    builder.target = target;
    builder.awaited = awaited;
    builder.tried = tried;
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
    private Cell first = Cell.UNTOUCHED;
    private Cell second = Cell.UNTOUCHED;
    private boolean ownerGaveUp;
    private int target = Ticket.NOT_IN_CHAIN;
    private @Nullable RegisterOperation awaited;
    private int tried;
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

    Builder cell(int place, Cell value) {
      if (place == Ticket.FIRST_SUCCESSOR) {
        first = value;
      } else {
        second = value;
      }
      return this;
    }

    Builder ownerGaveUp(boolean value) {
      ownerGaveUp = value;
      return this;
    }

    Builder target(int value) {
      target = value;
      return this;
    }

    Builder awaited(@Nullable RegisterOperation value) {
      awaited = value;
      return this;
    }

    Builder tried(int value) {
      tried = value;
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
          first,
          second,
          ownerGaveUp,
          target,
          awaited,
          tried,
          reason);
    }
  }
}
