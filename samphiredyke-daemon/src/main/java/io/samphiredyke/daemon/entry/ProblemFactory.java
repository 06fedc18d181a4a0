package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.ownership.ChainMember;
import io.samphiredyke.core.ownership.OwnershipAnswer;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.routing.SlotRequestAction;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.daemon.response.Problem.ExecutionStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Creates the problem documents that report the outcome of a request to callers. */
final class ProblemFactory {

  private static final int ACCEPTED = 202;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int UNPROCESSABLE_CONTENT = 422;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final EntryContext context;
  private final RequestIdentity request;

  ProblemFactory(EntryContext context, RequestIdentity request) {
    this.context = context;
    this.request = request;
  }

  Problem allEndpointsRefused(SlotRequestAction.Shed shed) {
    String detail = "refused by all endpoints: " + shed.reasons();
    Duration wait =
        Duration.ofNanos(Math.max(Duration.ofSeconds(1).toNanos(), shed.retryAfterNanos()));
    return shed.isCausedByLoad()
        ? Problem.notExecuted(TOO_MANY_REQUESTS, "overloaded", detail).withRetryAfter(wait)
        : Problem.notExecuted(SERVICE_UNAVAILABLE, "no endpoint", detail).withRetryAfter(wait);
  }

  Problem noEndpoint() {
    return Problem.notExecuted(
            SERVICE_UNAVAILABLE,
            "no endpoint",
            "no endpoint of the service takes new work at present")
        .withRetryAfter(Duration.ofSeconds(1));
  }

  Problem noPath() {
    return Problem.notExecuted(
            SERVICE_UNAVAILABLE, "no path", "this host reaches no endpoint of the service")
        .withRetryAfter(Duration.ofSeconds(1));
  }

  Problem responseTooLong() {
    return Problem.of(
        BAD_GATEWAY,
        "answer too long",
        "the request ran, its answer is longer than "
            + context.limits().maxResponseBytes()
            + " bytes",
        ExecutionStatus.EXECUTED);
  }

  Problem deadlineExceeded() {
    return Problem.notExecuted(
        GATEWAY_TIMEOUT, "deadline passed", "the request could not start before its deadline");
  }

  /**
   * Returns the problem document for a decision about a request.
   *
   * @param refusal the reason to report if the request was not executed, or null for a generic one
   */
  Problem of(OwnershipAnswer answer, @Nullable Problem refusal) {
    if (answer instanceof OwnershipAnswer.NotRun notRun) {
      return refusal != null
          ? refusal
          : Problem.notExecuted(SERVICE_UNAVAILABLE, "not run", notRun.reason());
    }
    if (answer instanceof OwnershipAnswer.Running) {
      return Problem.of(
          ACCEPTED,
          "running",
          "the request runs; resume it with the same id",
          ExecutionStatus.EXECUTED);
    }
    if (answer instanceof OwnershipAnswer.Ran) {
      return Problem.of(
          BAD_GATEWAY,
          "answer lost",
          "the request ran, its answer is lost",
          ExecutionStatus.EXECUTED);
    }
    if (answer instanceof OwnershipAnswer.Redirect redirect) {
      return Problem.of(
              MISDIRECTED_REQUEST,
              "misdirected",
              "another host decides about this request",
              ExecutionStatus.UNKNOWN)
          .withAddresses(addresses(redirect.place()));
    }
    if (answer instanceof OwnershipAnswer.Conflict) {
      return Problem.of(
          UNPROCESSABLE_CONTENT,
          "another body",
          "the id was used with another body",
          ExecutionStatus.UNKNOWN);
    }
    String cause = answer instanceof OwnershipAnswer.Unknown unknown ? unknown.cause().name() : "";
    return Problem.of(
        GATEWAY_TIMEOUT,
        "unknown",
        "it cannot be decided whether the request ran: " + cause,
        ExecutionStatus.UNKNOWN);
  }

  private List<String> addresses(int firstPosition) {
    return callerAddresses(context, request.ticket(), firstPosition);
  }

  /**
   * Returns the caller-facing addresses of the chain members that may receive the payload.
   *
   * @param firstPosition the position in the chain to start with; the order wraps around
   */
  static List<String> callerAddresses(EntryContext context, Ticket ticket, int firstPosition) {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < ticket.chain().size(); i++) {
      ChainMember member = ticket.chain().get((firstPosition + i) % ticket.chain().size());
      if (!member.mayReceivePayload()) {
        continue;
      }
      context
          .membership()
          .find(member.address())
          .map(Member::callerAddress)
          .filter(address -> !address.isEmpty())
          .ifPresent(addresses::add);
    }
    return addresses;
  }
}
