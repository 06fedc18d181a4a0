package io.samphiredyke.core.ownership;

import io.samphiredyke.core.ownership.RegisterOperation.Close;
import io.samphiredyke.core.ownership.RegisterOperation.Intent;
import io.samphiredyke.core.ownership.RegisterOperation.Outcome;
import io.samphiredyke.core.ownership.RegisterOperation.Take;
import io.samphiredyke.core.ownership.RegisterRecord.Status;
import org.jspecify.annotations.Nullable;

/** Rules by which a write changes the register of one request. */
@FunctionalInterface
interface RegisterRules {

  /** The first writer permanently holds the register. */
  RegisterRules WRITE_ONCE = RegisterRules::writeOnce;

  /**
   * Applies one write.
   *
   * @param before content of the register before the write, or null
   * @param writer the writing process
   * @param operation the write
   * @return the reply, with the content of the register after the write
   */
  RegisterReply apply(
      @Nullable RegisterRecord before, Incarnation writer, RegisterOperation operation);

  private static RegisterReply writeOnce(
      @Nullable RegisterRecord before, Incarnation writer, RegisterOperation operation) {
    if (before == null) {
      return firstWrite(writer, operation);
    }
    if (!before.holder().equals(writer)) {
      return new RegisterReply(RegisterReply.Status.HELD_BY_OTHER, before);
    }
    return advance(before, operation);
  }

  private static RegisterReply firstWrite(Incarnation writer, RegisterOperation operation) {
    if (operation instanceof Outcome) {
      return new RegisterReply(RegisterReply.Status.ABSENT, null);
    }
    RegisterRecord empty = new RegisterRecord(writer, Status.TAKEN, 0, null, null, null);
    return accepted(nextRecord(empty, operation));
  }

  private static RegisterReply advance(RegisterRecord before, RegisterOperation operation) {
    if (operation instanceof Take) {
      return accepted(before);
    }
    RegisterRecord after = nextRecord(before, operation);
    if (after.equals(before)) {
      return accepted(before);
    }
    if (isStale(before, operation)) {
      return new RegisterReply(RegisterReply.Status.STALE, before);
    }
    return accepted(after);
  }

  private static boolean isStale(RegisterRecord before, RegisterOperation operation) {
    if (before.status() == Status.CLOSED || before.status() == Status.FINISHED) {
      return true;
    }
    if (operation instanceof Intent && before.status() == Status.INTENDED) {
      return operation.attempt() <= before.attempt();
    }
    if (operation instanceof Outcome) {
      return operation.attempt() != before.attempt();
    }
    return operation.attempt() < before.attempt();
  }

  private static RegisterRecord nextRecord(RegisterRecord before, RegisterOperation operation) {
    Incarnation holder = before.holder();
    String digest = before.bodyDigest();
    int attempt = operation.attempt();
    if (operation instanceof Intent intent) {
      return new RegisterRecord(
          holder, Status.INTENDED, attempt, intent.endpoint(), null, intent.bodyDigest());
    }
    if (operation instanceof Close close) {
      return new RegisterRecord(holder, Status.CLOSED, attempt, null, close.reason(), digest);
    }
    if (operation instanceof Outcome outcome) {
      return new RegisterRecord(
          holder, Status.FINISHED, attempt, before.endpoint(), outcome.detail(), digest);
    }
    return new RegisterRecord(holder, Status.TAKEN, attempt, null, null, digest);
  }

  private static RegisterReply accepted(RegisterRecord record) {
    return new RegisterReply(RegisterReply.Status.ACCEPTED, record);
  }
}
