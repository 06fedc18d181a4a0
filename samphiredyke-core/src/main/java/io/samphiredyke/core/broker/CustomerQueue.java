package io.samphiredyke.core.broker;

import java.util.Comparator;
import java.util.TreeSet;

/** The claims of one customer inside one tier, ordered by deadline. */
final class CustomerQueue {

  static final Comparator<CustomerQueue> BY_SERVICE_RECEIVED =
      Comparator.<CustomerQueue>comparingDouble(q -> q.virtualTime).thenComparing(q -> q.customer);

  final String customer;
  final TreeSet<QueuedRequest> claims = new TreeSet<>(QueuedRequest.BY_DEADLINE);

  /** Work received divided by weight; the customer with the least is served next. */
  double virtualTime;

  CustomerQueue(String customer, double virtualTime) {
    this.customer = customer;
    this.virtualTime = virtualTime;
  }
}
