package io.samphiredyke.core.ownership;

/** Answer to a caller that does not receive the endpoint's response. */
public sealed interface OwnershipAnswer {

  /**
   * The request was not run and never will be.
   *
   * @param reason the reason
   */
  record NotRun(String reason) implements OwnershipAnswer {}

  /** The request is running; its response can be resumed at this process. */
  record Running() implements OwnershipAnswer {}

  /** The request ran, but its response is lost. */
  record Ran() implements OwnershipAnswer {}

  /**
   * It cannot be determined at the moment whether the request ran.
   *
   * @param cause the cause
   */
  record Unknown(UnknownCause cause) implements OwnershipAnswer {}

  /**
   * Another member of the chain decides; the caller must continue there with the same request id.
   *
   * @param place position of that member in the chain
   */
  record Redirect(int place) implements OwnershipAnswer {}

  /** The request id has already been used with a different body. */
  record Conflict() implements OwnershipAnswer {}

  /** Why it cannot be determined whether a request ran. */
  enum UnknownCause {
    /** The endpoint named in the intent does not know the request. */
    ENDPOINT_LOST_WORK,
    /** The endpoint named in the intent is unreachable. */
    ENDPOINT_UNREACHABLE,
    /** The owner and the registers that could decide are unreachable. */
    REGISTERS_UNREACHABLE,
    /** A register is full, or the ticket has expired there. */
    REGISTER_REFUSED,
    /** The holder of the register is unreachable and may still dispatch. */
    HOLDER_UNREACHABLE
  }
}
