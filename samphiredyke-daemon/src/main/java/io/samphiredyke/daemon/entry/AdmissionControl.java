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

  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final Duration MEMORY_WAIT = Duration.ofSeconds(1);

  private final EntryContext context;
  private final ToIntFunction<RequestIdentity> entries;
  private final CustomerLimits limits = new CustomerLimits();
  private final Map<String, Charge> charges = new HashMap<>();

  private record Charge(String customer, long tokens) {}

  /**
   * Creates admissions without requests in flight.
   *
   * @param entries the hosts that share a request's customer, at least 1
   */
  AdmissionControl(EntryContext context, ToIntFunction<RequestIdentity> entries) {
    this.context = context;
    this.entries = entries;
  }

  /** Admits a request or returns why not; a request is admitted once. */
  Optional<Problem> admit(RequestIdentity request, RequestEstimate estimate) {
    if (charges.containsKey(request.idText())) {
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
            customer.name(), limit, entries.applyAsInt(request), tokens, context.loop().nanoTime());
    if (!admission.admitted()) {
      context.metrics().count("refused-customer-limit");
      return Optional.of(overLimit(customer, admission));
    }
    charges.put(request.idText(), new Charge(customer.name(), tokens));
    return Optional.empty();
  }

  /** Returns the refusal while the memory of this host is full. */
  static Problem memoryFull() {
    return Problem.notRun(UNAVAILABLE, "memory full", "this host holds too many answers")
        .withRetryAfter(MEMORY_WAIT);
  }

  private static Problem overLimit(Customer customer, Admission admission) {
    String detail =
        String.format(
            "customer %s may have %d requests in flight and use %d tokens a minute",
            customer.name(), customer.inFlightLimit(), customer.tokensPerMinute());
    return Problem.notRun(TOO_MANY, "customer limit", detail)
        .withRetryAfter(Duration.ofNanos(admission.retryAfterNanos()));
  }

  /**
   * Ends a request that was admitted; later calls do nothing.
   *
   * @param usedTokens the tokens that it used
   */
  void finish(String requestId, long usedTokens) {
    Charge charge = charges.remove(requestId);
    if (charge != null) {
      limits.finished(charge.customer(), charge.tokens(), usedTokens);
    }
  }

  /** Ends the requests that are not worked on any more. */
  void finishUnless(Predicate<String> isActive) {
    for (String id : charges.keySet().toArray(new String[0])) {
      if (!isActive.test(id)) {
        finish(id, charges.get(id) == null ? 0 : charges.get(id).tokens());
      }
    }
  }
}
