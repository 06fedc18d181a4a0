package io.samphiredyke.core.orders;

import static io.samphiredyke.core.orders.OrderSimulation.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.orders.OrderSimulation.Variation;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;

/** Runs several hosts under faults, within the assumptions and beyond, with fixed seeds. */
class OrderSimulationTest {

  private static final int SEEDS = Integer.getInteger("orders.seeds", 60);
  private static final long WITHIN = 4_950 * OrderSimulation.MILLI;
  private static final long BEYOND = 90 * SECOND;
  private static final long FAULTS = 600 * SECOND;
  private static final long REST = 150 * SECOND;

  private static OrderSimulation run(long seed, Variation variation) {
    OrderSimulation simulation = new OrderSimulation(seed, variation);
    simulation.run(FAULTS, REST);
    return simulation;
  }

  private static int sum(Variation variation, ToIntFunction<OrderSimulation> figure) {
    int sum = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      sum += figure.applyAsInt(run(seed, variation));
    }
    return sum;
  }

  @Test
  void noOldHoldersOrderTakesEffectAfterOneOfTheNewHolder() {
    int pauses = 0;
    int lost = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run =
          run(seed, new Variation(OrderSimulation.settings().build(), WITHIN, true));
      assertThat(run.overtaken(false)).as("ignoring engines, seed %d", seed).isZero();
      assertThat(run.overtaken(true)).as("checking engines, seed %d", seed).isZero();
      assertThat(run.deviating()).as("seed %d", seed).isEmpty();
      pauses += run.pauses;
      lost += run.lostAnswers;
    }
    System.out.printf("orders: seeds=%d pauses=%d lostAnswers=%d%n", SEEDS, pauses, lost);
    assertThat(pauses).isPositive();
    assertThat(lost).isPositive();
  }

  @Test
  void theWholeSystemLoadsNoMoreThanTheLimit() {
    Variation variation = new Variation(OrderSimulation.settings().build(), WITHIN, true);
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run = run(seed, variation);
      assertThat(run.maxLoading)
          .as("loads at once, seed %d, resets %d", seed, run.resets)
          .isLessThanOrEqualTo(2);
    }
  }

  @Test
  void ordersThatArriveLaterThanAllowedForAreRefusedOrRepaired() {
    Variation variation = new Variation(OrderSimulation.settings().build(), BEYOND, true);
    int overtaken = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      OrderSimulation run = run(seed, variation);
      assertThat(run.overtaken(true)).as("checking engines, seed %d", seed).isZero();
      assertThat(run.deviating()).as("seed %d", seed).isEmpty();
      overtaken += run.overtaken(false);
    }
    assertThat(overtaken).as("the assumption matters for ignoring engines").isPositive();
  }

  @Test
  void withoutTheWaitOldOrdersOvertake() {
    OrderSettings settings = OrderSimulation.settings().takeoverWait(0).build();
    assertThat(sum(new Variation(settings, WITHIN, true), run -> run.overtaken(false)))
        .isPositive();
  }

  @Test
  void withoutTheCheckForAmpleLeaseOldOrdersOvertake() {
    OrderSettings settings =
        OrderSimulation.settings().minRemainingLease(Long.MIN_VALUE / 2).build();
    assertThat(sum(new Variation(settings, WITHIN, true), run -> run.overtaken(false)))
        .isPositive();
  }

  @Test
  void withoutReadingBackEnginesStayInAnotherState() {
    OrderSettings settings = OrderSimulation.settings().build();
    assertThat(sum(new Variation(settings, BEYOND, false), run -> run.deviating().size()))
        .isPositive();
  }
}
