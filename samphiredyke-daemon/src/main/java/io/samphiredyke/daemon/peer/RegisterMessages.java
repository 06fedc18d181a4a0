package io.samphiredyke.daemon.peer;

import io.samphiredyke.core.ownership.ChainMemberReply;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.RegisterOperation;
import io.samphiredyke.core.ownership.RegisterRecord;
import io.samphiredyke.core.ownership.RegisterReply;
import io.samphiredyke.schema.message.RequestStatusReply;
import io.samphiredyke.schema.message.WriteRegister;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Converts register operations, register replies and status replies to and from peer messages. */
public final class RegisterMessages {

  private RegisterMessages() {}

  /** Returns the message for a write operation. */
  public static WriteRegister toMessage(String requestId, RegisterOperation operation) {
    WriteRegister.Builder message =
        WriteRegister.builder().requestId(requestId).attempt(operation.attempt());
    if (operation instanceof RegisterOperation.Intent intent) {
      return message
          .operation(WriteRegister.Operation.INTENT)
          .endpoint(intent.endpoint())
          .bodyDigest(intent.bodyDigest())
          .build();
    }
    if (operation instanceof RegisterOperation.Close close) {
      return message.operation(WriteRegister.Operation.CLOSE).detail(close.reason()).build();
    }
    if (operation instanceof RegisterOperation.Outcome outcome) {
      return message.operation(WriteRegister.Operation.OUTCOME).detail(outcome.detail()).build();
    }
    return message.operation(WriteRegister.Operation.TAKE).build();
  }

  /** Returns the write operation in a message, or empty if this version does not know it. */
  public static Optional<RegisterOperation> toOperation(WriteRegister message) {
    int attempt = message.attempt();
    String detail = orEmpty(message.detail());
    return switch (message.operation()) {
      case TAKE -> Optional.of(new RegisterOperation.Take(attempt));
      case INTENT ->
          Optional.of(
              new RegisterOperation.Intent(
                  attempt, orEmpty(message.endpoint()), message.bodyDigest()));
      case CLOSE -> Optional.of(new RegisterOperation.Close(attempt, detail));
      case OUTCOME -> Optional.of(new RegisterOperation.Outcome(attempt, detail));
      case UNRECOGNIZED -> Optional.empty();
    };
  }

  /** Returns the message for a register reply. */
  public static io.samphiredyke.schema.message.RegisterReply toMessage(
      String requestId, RegisterReply reply) {
    return io.samphiredyke.schema.message.RegisterReply.builder()
        .requestId(requestId)
        .status(io.samphiredyke.schema.message.RegisterReply.Status.of(reply.status().name()))
        .record(toHeld(reply.record()))
        .build();
  }

  private static io.samphiredyke.schema.message.RegisterReply.@Nullable Held toHeld(
      @Nullable RegisterRecord record) {
    if (record == null) {
      return null;
    }
    return io.samphiredyke.schema.message.RegisterReply.Held.builder()
        .holder(record.holder().toString())
        .state(io.samphiredyke.schema.message.RegisterReply.Held.State.of(record.status().name()))
        .attempt(record.attempt())
        .endpoint(record.endpoint())
        .detail(record.detail())
        .bodyDigest(record.bodyDigest())
        .build();
  }

  /** Returns the register reply in a message, or empty if this version does not know its values. */
  public static Optional<RegisterReply> toReply(
      io.samphiredyke.schema.message.RegisterReply message) {
    io.samphiredyke.schema.message.RegisterReply.Held held = message.record();
    try {
      RegisterReply.Status status = RegisterReply.Status.valueOf(message.status().name());
      RegisterRecord record = held == null ? null : toRecord(held);
      return Optional.of(new RegisterReply(status, record));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static RegisterRecord toRecord(io.samphiredyke.schema.message.RegisterReply.Held held) {
    return new RegisterRecord(
        Incarnation.parse(held.holder()),
        RegisterRecord.Status.valueOf(held.state().name()),
        held.attempt(),
        held.endpoint(),
        held.detail(),
        held.bodyDigest());
  }

  /** Returns the message for a chain member's reply about the state of a request. */
  public static RequestStatusReply toMessage(String requestId, ChainMemberReply reply) {
    return RequestStatusReply.builder()
        .requestId(requestId)
        .status(RequestStatusReply.Status.of(reply.status().name()))
        .endpoint(reply.endpoint())
        .attempt(reply.attempt())
        .reason(reply.reason())
        .build();
  }

  /** Returns the chain member's reply in a message, or empty if this version does not know it. */
  public static Optional<ChainMemberReply> toChainMemberReply(RequestStatusReply message) {
    try {
      ChainMemberReply.Status status = ChainMemberReply.Status.valueOf(message.status().name());
      return Optional.of(
          new ChainMemberReply(status, message.endpoint(), message.attempt(), message.reason()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static String orEmpty(@Nullable String text) {
    return text == null ? "" : text;
  }
}
