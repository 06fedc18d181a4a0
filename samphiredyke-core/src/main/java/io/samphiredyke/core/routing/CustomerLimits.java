package io.samphiredyke.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Admission control per customer at one entry host: limits the requests in flight and the tokens
 * per minute.
 *
 * <p>A limit applies to all entry hosts together. Each one enforces its share: the limit divided by
 * the number of entry hosts whose addresses the customer was given.
 */
public final class CustomerLimits {

  private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Map<String, Usage> usages = new HashMap<>();

  /**
   * Limits of one customer over all entry hosts.
   *
   * @param requestsInFlight largest number of requests in flight, 0 for no limit
   * @param tokensPerMinute prompt and output tokens per minute, 0 for no limit
   */
  public record Limit(int requestsInFlight, long tokensPerMinute) {}

  /**
   * Admission decision.
   *
   * @param admitted whether the request was admitted
   * @param retryAfterNanos time after which it may be admitted, 0 if it was
   */
  public record Admission(boolean admitted, long retryAfterNanos) {

    private static final Admission ADMITTED = new Admission(true, 0);
  }

  /**
   * Admits a request and charges its estimated tokens.
   *
   * @param customer name of the customer
   * @param limit limits of the customer
   * @param entries entry hosts over which the limit is divided, at least 1
   * @param tokens estimated tokens of prompt and output
   * @param now current time, nanoseconds
   */
  public Admission admit(String customer, Limit limit, int entries, long tokens, long now) {
    Usage usage = usages.computeIfAbsent(customer, name -> new Usage(now));
    usage.refill(limit, entries, now);
    if (limit.requestsInFlight > 0
        && usage.inFlight >= (limit.requestsInFlight + entries - 1) / entries) {
      return new Admission(false, TimeUnit.SECONDS.toNanos(1));
    }
    if (limit.tokensPerMinute > 0 && usage.tokens <= 0) {
      double perNano = (double) limit.tokensPerMinute / entries / MINUTE_NANOS;
      return new Admission(false, (long) ((1 - usage.tokens) / perNano));
    }
    usage.inFlight++;
    usage.tokens -= tokens;
    return Admission.ADMITTED;
  }

  /**
   * Ends an admitted request and corrects the tokens that were charged for it.
   *
   * @param estimatedTokens tokens that were charged
   * @param actualTokens tokens that were actually used
   */
  public void finished(String customer, long estimatedTokens, long actualTokens) {
    Usage usage = usages.get(customer);
    if (usage == null) {
      return;
    }
    usage.inFlight = Math.max(0, usage.inFlight - 1);
    usage.tokens += estimatedTokens - actualTokens;
  }

  /** Returns how many requests of a customer are in flight. */
  public int inFlight(String customer) {
    Usage usage = usages.get(customer);
    return usage == null ? 0 : usage.inFlight;
  }

  private static final class Usage {
    private int inFlight;
    private double tokens;
    private boolean initialized;
    private long refilledAt;

    Usage(long now) {
      refilledAt = now;
    }

    /**
     * Refills the token bucket. A request may overdraw it, so that a request larger than the bucket
     * can be admitted too.
     */
    void refill(Limit limit, int entries, long now) {
      double share = (double) limit.tokensPerMinute / entries;
      if (!initialized) {
        initialized = true;
        tokens = share;
      }
      tokens = Math.min(share, tokens + share * (now - refilledAt) / MINUTE_NANOS);
      refilledAt = now;
    }
  }
}
