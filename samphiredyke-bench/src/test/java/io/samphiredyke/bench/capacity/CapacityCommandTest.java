package io.samphiredyke.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class CapacityCommandTest {

  private static final TargetSize SMALL = new TargetSize(20, 30, 100, 1_000, 50, 5, 4, 4, 950, 600);

  @Test
  void measuresAllCostsUsedByEstimates() throws IOException {
    CapacityCommand.Report report = CapacityCommand.measure(SMALL);
    assertThat(report.slopes()).allSatisfy(cost -> assertThat(cost.value()).isPositive());
    assertThat(report.estimates()).isNotEmpty();
    assertThat(value(report, "answer kept, per part of 240 B")).isBetween(240.0, 400.0);
    assertThat(value(report, "configuration, per item")).isBetween(200.0, 5_000.0);
  }

  private static double value(CapacityCommand.Report report, String name) {
    return report.slopes().stream()
        .filter(cost -> cost.name().equals(name))
        .findFirst()
        .orElseThrow()
        .value();
  }
}
