package io.samphiredyke.core.broker;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The claims of one tier: weighted fair between customers, by deadline inside a customer.
 *
 * <p>Each customer has a virtual time that advances by work divided by weight when one of its
 * claims is granted and is corrected when the real work is known. A customer that was idle starts
 * at the tier's virtual time, so it can't save up service.
 */
final class TierQueue {

  private final Map<String, CustomerQueue> customers = new HashMap<>();
  private final TreeSet<CustomerQueue> active = new TreeSet<>(CustomerQueue.BY_SERVICE_RECEIVED);
  private final TreeSet<QueuedRequest> arrivals = new TreeSet<>(QueuedRequest.BY_ARRIVAL);
  private double virtualTime;
  private long uncachedTokens;
  private long outputTokens;

  int size() {
    return arrivals.size();
  }

  long uncachedTokens() {
    return uncachedTokens;
  }

  long outputTokens() {
    return outputTokens;
  }

  /** Counts a claim that waits but may not be granted yet. */
  void add(QueuedRequest queued) {
    arrivals.add(queued);
    uncachedTokens += queued.claim.uncachedTokens();
    outputTokens += queued.claim.outputTokens();
  }

  /** Makes a claim that was added available to {@link #peek}. */
  void activate(QueuedRequest queued) {
    CustomerQueue customer =
        customers.computeIfAbsent(
            queued.claim.customer(), name -> new CustomerQueue(name, virtualTime));
    if (customer.claims.isEmpty()) {
      customer.virtualTime = Math.max(customer.virtualTime, virtualTime);
      active.add(customer);
    }
    customer.claims.add(queued);
  }

  void remove(QueuedRequest queued) {
    if (!arrivals.remove(queued)) {
      return;
    }
    uncachedTokens -= queued.claim.uncachedTokens();
    outputTokens -= queued.claim.outputTokens();
    CustomerQueue customer = customers.get(queued.claim.customer());
    if (customer == null || !customer.claims.remove(queued) || !customer.claims.isEmpty()) {
      return;
    }
    active.remove(customer);
    if (customer.virtualTime <= virtualTime) {
      customers.remove(customer.customer);
    }
  }

  /** Returns the claim to be granted next, null if none may be granted. */
  @Nullable QueuedRequest peek() {
    return active.isEmpty() ? null : active.first().claims.first();
  }

  /** Returns the claim that arrived last, null if the tier is empty. */
  @Nullable QueuedRequest latest() {
    return arrivals.isEmpty() ? null : arrivals.last();
  }

  /**
   * Charges a customer for work.
   *
   * @param customerName the customer
   * @param work work divided by the customer's weight; negative to give back what was charged in
   *     excess
   */
  void charge(String customerName, double work) {
    CustomerQueue customer =
        customers.computeIfAbsent(customerName, name -> new CustomerQueue(name, virtualTime));
    boolean queued = active.remove(customer);
    if (queued && work > 0) {
      virtualTime = Math.max(virtualTime, customer.virtualTime);
    }
    customer.virtualTime += work;
    if (queued) {
      active.add(customer);
      return;
    }
    if (customer.virtualTime <= virtualTime) {
      customers.remove(customerName);
    }
  }
}
