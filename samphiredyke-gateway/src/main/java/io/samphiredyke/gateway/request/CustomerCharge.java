package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.Route;
import io.samphiredyke.platform.CallerRequestHead;
import org.jspecify.annotations.Nullable;

/** Computes the rank of a request and what it takes from its customer's quota. */
final class CustomerCharge {

  /** Factor by which a customer's rank outweighs the route's; there are only a few route ranks. */
  private static final int ROUTE_RANKS = 16;

  private CustomerCharge() {}

  /** Returns the rank of a request, 0 is the highest. */
  static int rank(Route route, @Nullable CustomerSpec customer) {
    return customer != null && customer.rank() >= 0
        ? customer.rank() * ROUTE_RANKS + route.rank()
        : route.rank();
  }

  /** Returns the units that a request takes from the quota of its customer. */
  static long quotaUnits(CustomerSpec customer, CallerRequestHead head) {
    if (!customer.countsTokens()) {
      return 1;
    }
    long tokens = (long) head.estimate().promptTokens() + head.maxOutputTokens();
    return tokens == 0 ? customer.defaultRequestTokens() : tokens;
  }
}
