package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Load: one customer has more requests waiting than its share of the slots allows. */
class CustomerSharesTest extends PoolSchedulerFixture {

  private static final long UNLIMITED = 1_000_000;
  private static final int FLOOD = 100;

  /** Later than all grants, so that no request becomes late. */
  private static final long FAR = 60_000 * MILLI;

  private static final double HOLD_MILLIS = 100;

  private final CustomerShares shares = new CustomerShares();

  private static CustomerSpec customer(String name, long rate) {
    return new CustomerSpec(name, Set.of(name), -1, rate, UNLIMITED, true, 0);
  }

  private long charge(String customer, double burstShare, long now) {
    return shares.charge(customer, HOLD_MILLIS, 1, burstShare, now);
  }

  private int chargedAtOnce(String customer, double burstShare) {
    int charged = 0;
    while (charge(customer, burstShare, 0) >= 0) {
      charged++;
    }
    return charged;
  }

  private void configure(CustomerSpec... customers) {
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(), List.of(customers), CallerLimits.defaults()),
        0);
  }

  /** Submits a flood of one customer and then requests of another one; returns all grants. */
  private List<Long> grantsOfAFlood() {
    scheduler.put(endpoint("e", 1), 0);
    for (long id = 1; id <= FLOOD; id++) {
      scheduler.submit(request(id, "flooding", 0, FAR, 0), 0);
    }
    scheduler.submit(request(FLOOD + 1, "other", 0, FAR, 0), 0);
    for (int i = 0; i <= FLOOD; i++) {
      List<Long> granted = new ArrayList<>(grantOrder);
      scheduler.release("s", "e", granted.get(i), Outcome.SERVED, 50, i * 50 * MILLI);
    }
    return grantOrder;
  }

  @Test
  void requestWithinAShareGoesBeforeTheExcessOfAnotherCustomer() {
    configure(customer("flooding", 1_000), customer("other", 1_000));
    List<Long> order = grantsOfAFlood();
    assertThat(order).hasSize(FLOOD + 1);
    assertThat(order.indexOf(FLOOD + 1L)).isLessThan(FLOOD / 2);
  }

  @Test
  void allRequestsAreEqualWithoutSeveralCustomers() {
    configure(customer("flooding", 1_000));
    assertThat(grantsOfAFlood()).isSorted();
  }

  @Test
  void quotasDetermineTheShares() {
    shares.configure(List.of(customer("large", 3_000), customer("small", 1_000)));
    assertThat(chargedAtOnce("large", 1)).isEqualTo(16);
    assertThat(chargedAtOnce("small", 1)).isEqualTo(6);
  }

  @Test
  void customerWithoutQuotaHasTheMeanShare() {
    shares.configure(List.of(customer("a", 1_000), customer("b", 3_000), customer("c", 0)));
    long ofCustomerWithoutQuota = charge("c", 1, 0);
    assertThat(ofCustomerWithoutQuota).isEqualTo((long) (3 * HOLD_MILLIS * MILLI));
  }

  @Test
  void quotasInRequestsAndInTokensAreNotCompared() {
    CustomerSpec inRequests = new CustomerSpec("r", Set.of("r"), -1, 10, UNLIMITED, false, 0);
    shares.configure(List.of(customer("a", 50_000), inRequests));
    assertThat(charge("r", 1, 0)).isEqualTo(charge("a", 1, 0));
  }

  @Test
  void longRequestDoesNotSetASmallCustomerBackForMinutes() {
    shares.configure(List.of(customer("large", 1_000_000), customer("small", 1)));
    assertThat(charge("small", 1, 0)).isPositive();
    assertThat(charge("small", 1, 0)).isNegative();
    assertThat(charge("small", 1, 5_000 * MILLI)).isPositive();
  }

  @Test
  void higherRanksMayUseMoreOfTheBurst() {
    shares.configure(List.of(customer("a", 1_000), customer("b", 1_000)));
    int ofLowRank = chargedAtOnce("a", 0.5);
    int ofHighRank = chargedAtOnce("a", 1);
    assertThat(ofLowRank).isPositive();
    assertThat(ofHighRank).isPositive();
  }

  @Test
  void refundedRequestLeavesItsShareToTheNextOne() {
    shares.configure(List.of(customer("a", 1_000), customer("b", 1_000)));
    long charged = charge("a", 1, 0);
    chargedAtOnce("a", 1);
    assertThat(charge("a", 1, 0)).isNegative();
    shares.refund("a", charged);
    assertThat(charge("a", 1, 0)).isPositive();
  }

  /** All sequences of 16 steps in which a customer sends at most its share, with a burst. */
  @Test
  void customerBelowItsShareIsNeverBeyondIt() {
    int steps = 16;
    long stepNanos = (long) (2 * HOLD_MILLIS * MILLI);
    for (int arrivals = 0; arrivals < 1 << steps; arrivals++) {
      CustomerShares fresh = new CustomerShares();
      fresh.configure(List.of(customer("a", 1_000), customer("b", 1_000)));
      for (int step = 0; step < steps; step++) {
        fresh.charge("b", HOLD_MILLIS, 1, 1, step * stepNanos);
        if ((arrivals >> step & 1) == 1) {
          assertThat(fresh.charge("a", HOLD_MILLIS, 1, 1, step * stepNanos)).isPositive();
        }
      }
    }
  }

  @Test
  void removedCustomerIsForgotten() {
    shares.configure(List.of(customer("a", 1_000), customer("b", 1_000)));
    chargedAtOnce("a", 1);
    shares.configure(List.of(customer("b", 1_000), customer("c", 1_000)));
    assertThat(charge("a", 1, 0)).isZero();
    shares.configure(List.of(customer("a", 1_000), customer("b", 1_000)));
    assertThat(charge("a", 1, 0)).isPositive();
  }
}
