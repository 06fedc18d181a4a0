package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/** Something that happened to one request at one process. */
public sealed interface OwnershipEvent {

  /**
   * A caller sent the request, for the first time or again.
   *
   * @param bodyDigest digest of the body, or null if only the id came
   */
  record Submitted(@Nullable String bodyDigest) implements OwnershipEvent {}

  /**
   * A broker granted a dispatch.
   *
   * @param endpoint the endpoint
   */
  record Granted(String endpoint) implements OwnershipEvent {}

  /**
   * A register answered a write or a read.
   *
   * @param position place of the register in the chain
   * @param operation the write that it answers, or null for a read
   * @param reply the answer
   */
  record RegisterReplied(int position, @Nullable RegisterOperation operation, RegisterReply reply)
      implements OwnershipEvent {}

  /**
   * A register did not answer in time.
   *
   * @param position place of the register in the chain
   * @param operation the write, or null for a read
   * @param mayHaveArrived whether the message may have reached the register; no decision rests on
   *     it, because a message may also arrive late
   */
  record RegisterUnreachable(
      int position, @Nullable RegisterOperation operation, boolean mayHaveArrived)
      implements OwnershipEvent {}

  /**
   * A member of the chain answered a question.
   *
   * @param position its place in the chain
   * @param reply the answer
   */
  record ChainMemberReplied(int position, ChainMemberReply reply) implements OwnershipEvent {}

  /**
   * A member of the chain did not answer a question, or another incarnation answered.
   *
   * @param position its place in the chain
   */
  record ChainMemberUnreachable(int position) implements OwnershipEvent {}

  /**
   * An attempt provably never reached the endpoint: no connection was established, or the endpoint
   * refused in a way that its configuration takes as not run.
   *
   * @param attempt the attempt
   */
  record NotDispatched(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint refused in a way that is final.
   *
   * @param attempt the attempt
   */
  record EndpointRefused(int attempt) implements OwnershipEvent {}

  /**
   * The stream of the answer ended whole.
   *
   * @param attempt the attempt
   */
  record Ended(int attempt) implements OwnershipEvent {}

  /**
   * The connection to the endpoint was lost or went silent before the end of the answer.
   *
   * @param attempt the attempt
   */
  record StreamBroken(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint does not know the request.
   *
   * @param attempt the attempt
   */
  record ResumeNotFound(int attempt) implements OwnershipEvent {}

  /**
   * The endpoint could not be reached for a resume.
   *
   * @param attempt the attempt
   */
  record ResumeUnreachable(int attempt) implements OwnershipEvent {}

  /**
   * Another process asked for the state here; it is answered with {@link
   * OwnershipStateMachine#reply} after this event. An owner that has no caller yields to the first
   * successor.
   *
   * @param position place of the process that asks, or {@link Ticket#NOT_IN_CHAIN}
   */
  record StateQueried(int position) implements OwnershipEvent {}

  /** No caller waits for the request any more. */
  record CallerLeft() implements OwnershipEvent {}

  /**
   * The caller must be answered now: load shedding, a deadline, or a stop.
   *
   * @param reason the reason as told to the caller
   */
  record Refuse(String reason) implements OwnershipEvent {}
}
