package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Meters the work of each customer at a service against its share of the slots, so that one
 * customer's excess waits behind the requests of the others.
 *
 * <p>Load pattern: one customer sends several times its usual traffic for seconds. Shares are
 * proportional to the customers' quotas, compared among those in the same unit; one without a quota
 * has the mean share. A meter is a virtual clock: work within the share moves it forward by the
 * time that the share needs for it, and a request is within the share unless the clock is too far
 * ahead of time. Only such work is charged, so excess that finds a free slot doesn't count against
 * later requests.
 *
 * <p>Off unless the configuration names several customers.
 */
final class CustomerShares {

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * How far a customer's work may be ahead of its share, milliseconds. Longer than usual bursts of
   * a small customer; a flood of this length is over before it makes others late.
   */
  private static final double BURST_MILLIS = 2_000;

  /**
   * How far a single request may move a clock ahead of time, milliseconds, so that one long request
   * doesn't set a customer with a small share back for minutes.
   */
  private static final double MAX_LEAD_MILLIS = 2 * BURST_MILLIS;

  private final Map<String, Double> fractions = new HashMap<>();
  private final Map<String, Long> clocks = new HashMap<>();

  /** Sets the customers, whose quotas determine the shares. */
  void configure(Collection<CustomerSpec> customers) {
    fractions.clear();
    if (customers.size() > 1) {
      Map<Boolean, Double> meanRates =
          customers.stream()
              .filter(each -> each.ratePerSecond() > 0)
              .collect(
                  Collectors.groupingBy(
                      CustomerSpec::countsTokens,
                      Collectors.averagingLong(CustomerSpec::ratePerSecond)));
      double total = customers.stream().mapToDouble(each -> weight(each, meanRates)).sum();
      customers.forEach(each -> fractions.put(each.name(), weight(each, meanRates) / total));
    }
    clocks.keySet().retainAll(fractions.keySet());
  }

  /** Returns a customer's quota in proportion to the mean of those in the same unit. */
  private static double weight(CustomerSpec customer, Map<Boolean, Double> meanRates) {
    long rate = customer.ratePerSecond();
    return rate > 0 ? rate / meanRates.getOrDefault(customer.countsTokens(), 1.0) : 1;
  }

  /**
   * Charges a request if it is within its customer's share.
   *
   * @param holdMillis expected time that it holds a slot
   * @param slots slots of the service that can be kept in use
   * @param burstShare part of the burst that it may use; a higher rank may use more, so that a
   *     customer's own flood of a lower rank leaves it some
   * @return by how much the clock was moved, nanoseconds, or -1 if the request is beyond the share
   */
  long charge(String customer, double holdMillis, double slots, double burstShare, long now) {
    Double fraction = fractions.get(customer);
    if (fraction == null || slots <= 0) {
      return 0;
    }
    long clock = Math.max(now, clocks.getOrDefault(customer, now));
    if (clock - now > BURST_MILLIS * burstShare * NANOS_PER_MILLI) {
      return -1;
    }
    double neededMillis = holdMillis / (fraction * slots);
    double leftMillis = MAX_LEAD_MILLIS - (clock - now) / NANOS_PER_MILLI;
    long charged = (long) (Math.min(neededMillis, leftMillis) * NANOS_PER_MILLI);
    clocks.put(customer, clock + charged);
    return charged;
  }

  /** Takes back the charge of a request that got no slot. */
  void refund(String customer, long charged) {
    if (charged > 0) {
      clocks.computeIfPresent(customer, (name, clock) -> clock - charged);
    }
  }
}
