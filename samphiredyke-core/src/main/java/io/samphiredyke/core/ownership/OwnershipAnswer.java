package io.samphiredyke.core.ownership;

/** What a caller is told when it is not given the answer of the endpoint. */
public sealed interface OwnershipAnswer {

  /**
   * The request did not run and never will.
   *
   * @param reason why
   */
  record NotRun(String reason) implements OwnershipAnswer {}

  /** The request is running and can be resumed here. */
  record Running() implements OwnershipAnswer {}

  /** The request ran, and its answer is lost. */
  record Ran() implements OwnershipAnswer {}

  /**
   * Whether the request ran cannot be decided now.
   *
   * @param cause why not
   */
  record Unknown(UnknownCause cause) implements OwnershipAnswer {}

  /**
   * Another member of the chain decides; the caller goes on there with the same id.
   *
   * @param place its place in the chain
   */
  record Redirect(int place) implements OwnershipAnswer {}

  /** The id was used with another body. */
  record Conflict() implements OwnershipAnswer {}

  /** Why it cannot be decided whether a request ran. */
  enum UnknownCause {
    /** The endpoint named in the intent does not know the request. */
    ENDPOINT_LOST_WORK,
    /** The endpoint named in the intent cannot be reached. */
    ENDPOINT_UNREACHABLE,
    /** Neither the owner nor the registers that could decide can be reached. */
    REGISTERS_UNREACHABLE,
    /** A register has no room or the ticket expired there. */
    REGISTER_REFUSED,
    /** The holder of the register cannot be reached and may still dispatch. */
    HOLDER_UNREACHABLE
  }
}
