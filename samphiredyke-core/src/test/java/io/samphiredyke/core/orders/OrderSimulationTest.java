package io.samphiredyke.core.orders;

import static io.samphiredyke.core.orders.OrderSimulation.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.orders.OrderSimulation.Scenario;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;

/**
 * Simulates several hosts under faults with fixed seeds, both within and beyond the assumptions of
 * the lease protocol, and verifies by mutation that each safety mechanism is needed.
 */
class OrderSimulationTest {

  private static final int SEEDS = Integer.getInteger("orders.seeds", 60);
  private static final long TOLERATED_DELAY = 4_950 * OrderSimulation.MILLI;
  private static final long EXCESSIVE_DELAY = 90 * SECOND;
  private static final long TIME_WITH_FAULTS = 600 * SECOND;
  private static final long TIME_WITHOUT_FAULTS = 150 * SECOND;

  private static OrderSimulation run(long seed, Scenario scenario) {
    OrderSimulation simulation = new OrderSimulation(seed, scenario);
    simulation.run(TIME_WITH_FAULTS, TIME_WITHOUT_FAULTS);
    return simulation;
  }

  private static int sum(Scenario scenario, ToIntFunction<OrderSimulation> metric) {
    int sum = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      sum += metric.applyAsInt(run(seed, scenario));
    }
    return sum;
  }

  @Test
  void noOrderOfAPreviousHolderTakesEffectAfterOneOfTheNewHolder() {
    int pauses = 0;
    int lostResponses = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run =
          run(seed, new Scenario(OrderSimulation.settings().build(), TOLERATED_DELAY, true));
      assertThat(run.staleOrders(false)).as("engines without fencing, seed %d", seed).isZero();
      assertThat(run.staleOrders(true)).as("engines with fencing, seed %d", seed).isZero();
      assertThat(run.notConverged()).as("seed %d", seed).isEmpty();
      pauses += run.pauses;
      lostResponses += run.lostResponses;
    }
    System.out.printf(
        "orders: seeds=%d pauses=%d lostResponses=%d%n", SEEDS, pauses, lostResponses);
    assertThat(pauses).isPositive();
    assertThat(lostResponses).isPositive();
  }

  @Test
  void concurrentLoadsOfTheWholeSystemStayWithinTheLimit() {
    Scenario scenario = new Scenario(OrderSimulation.settings().build(), TOLERATED_DELAY, true);
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run = run(seed, scenario);
      assertThat(run.maxLoading)
          .as("concurrent loads, seed %d, resets %d", seed, run.resets)
          .isLessThanOrEqualTo(2);
    }
  }

  @Test
  void ordersDelayedBeyondTheBoundAreRefusedOrRepaired() {
    Scenario scenario = new Scenario(OrderSimulation.settings().build(), EXCESSIVE_DELAY, true);
    int staleOrders = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run = run(seed, scenario);
      assertThat(run.staleOrders(true)).as("engines with fencing, seed %d", seed).isZero();
      assertThat(run.notConverged()).as("seed %d", seed).isEmpty();
      staleOrders += run.staleOrders(false);
    }
    assertThat(staleOrders).as("engines without fencing depend on the bound").isPositive();
  }

  @Test
  void withoutTheTakeoverWaitStaleOrdersTakeEffect() {
    OrderSettings settings = OrderSimulation.settings().takeoverWait(0).build();
    assertThat(sum(new Scenario(settings, TOLERATED_DELAY, true), run -> run.staleOrders(false)))
        .isPositive();
  }

  @Test
  void withoutTheCheckOfTheRemainingLeaseStaleOrdersTakeEffect() {
    OrderSettings settings =
        OrderSimulation.settings().minRemainingLease(Long.MIN_VALUE / 2).build();
    assertThat(sum(new Scenario(settings, TOLERATED_DELAY, true), run -> run.staleOrders(false)))
        .isPositive();
  }

  @Test
  void withoutReadingTheActualStateEnginesDoNotConverge() {
    OrderSettings settings = OrderSimulation.settings().build();
    assertThat(
            sum(new Scenario(settings, EXCESSIVE_DELAY, false), run -> run.notConverged().size()))
        .isPositive();
  }
}
