package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Customer;
import io.samphiredyke.core.routing.CustomerLimits;
import io.samphiredyke.core.routing.CustomerLimits.Admission;
import io.samphiredyke.core.routing.CustomerLimits.Limit;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.daemon.response.Problem;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Admits requests within the limits of their customers and the memory of this host.
 *
 * <p>An admitted request counts as in flight until {@link #finish}. All methods run on the control
 * loop.
 */
final class AdmissionControl {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

  private final EntryContext context;
  private final ToIntFunction<RequestIdentity> entryCount;
  private final CustomerLimits limits = new CustomerLimits();
  private final Map<String, Charge> chargesByRequest = new HashMap<>();

  private record Charge(String customer, long tokens) {}

  /**
   * Creates an admission control without requests in flight.
   *
   * @param entryCount returns the number of hosts, at least 1, that share the customer's limits
   */
  AdmissionControl(EntryContext context, ToIntFunction<RequestIdentity> entryCount) {
    this.context = context;
    this.entryCount = entryCount;
  }

  /** Admits a request, or returns the reason for its refusal. A repeated call has no effect. */
  Optional<Problem> admit(RequestIdentity request, RequestEstimate estimate) {
    if (chargesByRequest.containsKey(request.idText())) {
      return Optional.empty();
    }
    if (context.limits().memory().isFull()) {
      context.metrics().count("refused-memory");
      return Optional.of(memoryFull());
    }
    Customer customer = request.customer();
    long tokens = (long) estimate.promptTokens() + estimate.outputTokens();
    Limit limit = new Limit(customer.inFlightLimit(), customer.tokensPerMinute());
    Admission admission =
        limits.admit(
            customer.name(),
            limit,
            entryCount.applyAsInt(request),
            tokens,
            context.loop().nanoTime());
    if (!admission.admitted()) {
      context.metrics().count("refused-customer-limit");
      return Optional.of(overLimit(customer, admission));
    }
    chargesByRequest.put(request.idText(), new Charge(customer.name(), tokens));
    return Optional.empty();
  }

  /** Returns the problem for a request that arrives while the memory of this host is full. */
  static Problem memoryFull() {
    return Problem.notExecuted(
            SERVICE_UNAVAILABLE, "memory full", "this host holds too many answers")
        .withRetryAfter(MEMORY_RETRY_AFTER);
  }

  private static Problem overLimit(Customer customer, Admission admission) {
    String detail =
        String.format(
            "customer %s may have %d requests in flight and use %d tokens a minute",
            customer.name(), customer.inFlightLimit(), customer.tokensPerMinute());
    return Problem.notExecuted(TOO_MANY_REQUESTS, "customer limit", detail)
        .withRetryAfter(Duration.ofNanos(admission.retryAfterNanos()));
  }

  /**
   * Ends a request that was admitted and corrects its estimated token usage. A repeated call has no
   * effect.
   *
   * @param usedTokens the tokens that the request used
   */
  void finish(String requestId, long usedTokens) {
    Charge charge = chargesByRequest.remove(requestId);
    if (charge != null) {
      limits.finished(charge.customer(), charge.tokens(), usedTokens);
    }
  }

  /** Ends the requests that are not active any more, with their estimated token usage. */
  void finishUnless(Predicate<String> isActive) {
    for (String id : chargesByRequest.keySet().toArray(new String[0])) {
      if (!isActive.test(id)) {
        finish(id, chargesByRequest.get(id) == null ? 0 : chargesByRequest.get(id).tokens());
      }
    }
  }
}
