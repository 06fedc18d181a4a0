package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/** Input event of the {@link OwnershipStateMachine} of one request in one process. */
public sealed interface OwnershipEvent {

  /**
   * A caller submitted the request, for the first time or again.
   *
   * @param bodyDigest digest of the body, or null if only the request id was sent
   */
  record Submitted(@Nullable String bodyDigest) implements OwnershipEvent {}

  /**
   * A broker granted a slot.
   *
   * @param endpoint the endpoint
   */
  record Granted(String endpoint) implements OwnershipEvent {}

  /**
   * A register replied to a write or a read.
   *
   * @param position position of the register in the chain
   * @param operation the write that it replies to, or null for a read
   * @param reply the reply
   */
  record RegisterReplied(int position, @Nullable RegisterOperation operation, RegisterReply reply)
      implements OwnershipEvent {}

  /**
   * A register did not reply in time.
   *
   * @param position position of the register in the chain
   * @param operation the write, or null for a read
   * @param mayHaveArrived whether the message may have reached the register; no decision depends on
   *     it, because a message may also arrive late
   */
  record RegisterUnreachable(
      int position, @Nullable RegisterOperation operation, boolean mayHaveArrived)
      implements OwnershipEvent {}

  /**
   * A member of the chain replied to a state query.
   *
   * @param position position of the member in the chain
   * @param reply the reply
   */
  record ChainMemberReplied(int position, ChainMemberReply reply) implements OwnershipEvent {}

  /**
   * A member of the chain did not reply to a state query, or another incarnation replied.
   *
   * @param position position of the member in the chain
   */
  record ChainMemberUnreachable(int position) implements OwnershipEvent {}

  /**
   * An attempt provably never reached the endpoint: no connection was established, or the endpoint
   * rejected it in a way that its configuration treats as not run.
   *
   * @param attempt the attempt
   */
  record NotDispatched(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint rejected the request; the rejection is final.
   *
   * @param attempt the attempt
   */
  record EndpointRefused(int attempt) implements OwnershipEvent {}

  /**
   * The response stream ended and is complete.
   *
   * @param attempt the attempt
   */
  record Ended(int attempt) implements OwnershipEvent {}

  /**
   * The connection to the endpoint was lost or timed out before the end of the response.
   *
   * @param attempt the attempt
   */
  record StreamBroken(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint does not know the request to be resumed.
   *
   * @param attempt the attempt
   */
  record ResumeNotFound(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint was unreachable when the response was to be resumed.
   *
   * @param attempt the attempt
   */
  record ResumeUnreachable(int attempt) implements OwnershipEvent {}

  /**
   * Another process queried the state; {@link OwnershipStateMachine#reply} gives the reply after
   * this event. If the first successor queries an owner that has not acted on the request, or that
   * is waiting for a slot, has no waiting caller and does not hold the first register, the owner
   * yields to it.
   *
   * @param position position of the querying process in the chain, or {@link Ticket#NOT_IN_CHAIN}
   */
  record StateQueried(int position) implements OwnershipEvent {}

  /** The last waiting caller has disconnected. */
  record CallerLeft() implements OwnershipEvent {}

  /**
   * The request must be refused now, because of load shedding, its deadline or a shutdown.
   *
   * @param reason the reason as reported to the caller
   */
  record Refuse(String reason) implements OwnershipEvent {}
}
