package io.samphiredyke.core.ownership;

/**
 * Action that the process must carry out for one request.
 *
 * <p>The names of the records and of their components are shown to operators in the request
 * history.
 */
public sealed interface OwnershipDecision {

  /** Request a slot from the brokers. */
  record Claim() implements OwnershipDecision {}

  /** Withdraw the slot request at the brokers. */
  record WithdrawClaim() implements OwnershipDecision {}

  /**
   * Release an unused grant.
   *
   * @param endpoint the endpoint of the grant
   */
  record ReleaseGrant(String endpoint) implements OwnershipDecision {}

  /**
   * Write to a register and report its reply.
   *
   * @param place position of the register in the chain; may be this process
   * @param operation the write
   */
  record WriteRegister(int place, RegisterOperation operation) implements OwnershipDecision {}

  /**
   * Read a register and report its reply.
   *
   * @param place position of the register in the chain; may be this process
   */
  record ReadRegister(int place) implements OwnershipDecision {}

  /**
   * Query the state of a member of the chain.
   *
   * @param place position of the member in the chain
   */
  record AskMember(int place) implements OwnershipDecision {}

  /**
   * Send the request to an endpoint exactly once.
   *
   * @param endpoint the endpoint
   * @param attempt the attempt, which the following events must carry
   */
  record Dispatch(String endpoint, int attempt) implements OwnershipDecision {}

  /**
   * Resume the response on a new connection, identified by the request id.
   *
   * @param endpoint the endpoint
   * @param attempt the attempt, which the following events must carry
   */
  record ResumeFrom(String endpoint, int attempt) implements OwnershipDecision {}

  /**
   * Answer the waiting callers; a conflict is sent only to the submission that caused it.
   *
   * @param answer the answer
   */
  record Tell(OwnershipAnswer answer) implements OwnershipDecision {}
}
