package io.samphiredyke.core.ownership;

/** Something that the process has to do for one request. */
public sealed interface OwnershipDecision {

  /** Claim a dispatch at the brokers. */
  record Claim() implements OwnershipDecision {}

  /** Withdraw the claim at the brokers. */
  record WithdrawClaim() implements OwnershipDecision {}

  /**
   * Give a grant back unused.
   *
   * @param endpoint the endpoint of the grant
   */
  record ReleaseGrant(String endpoint) implements OwnershipDecision {}

  /**
   * Write to a register and report the answer.
   *
   * @param place place of the register in the chain; may be this process
   * @param operation the write
   */
  record WriteRegister(int place, RegisterOperation operation) implements OwnershipDecision {}

  /**
   * Read a register and report the answer.
   *
   * @param place place of the register in the chain; may be this process
   */
  record ReadRegister(int place) implements OwnershipDecision {}

  /**
   * Ask a member of the chain for its state.
   *
   * @param place its place in the chain
   */
  record AskMember(int place) implements OwnershipDecision {}

  /**
   * Send the request to an endpoint, once.
   *
   * @param endpoint the endpoint
   * @param attempt the attempt, to be named in the events that follow
   */
  record Dispatch(String endpoint, int attempt) implements OwnershipDecision {}

  /**
   * Resume the answer by the id of the request on a new connection.
   *
   * @param endpoint the endpoint
   * @param attempt the attempt, to be named in the events that follow
   */
  record ResumeFrom(String endpoint, int attempt) implements OwnershipDecision {}

  /**
   * Answer the callers that wait; a conflict answers only the submission that caused it.
   *
   * @param answer the answer
   */
  record Tell(OwnershipAnswer answer) implements OwnershipDecision {}
}
