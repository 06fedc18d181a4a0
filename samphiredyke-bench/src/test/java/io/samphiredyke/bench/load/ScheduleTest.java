package io.samphiredyke.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.codec.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ScheduleTest {

  private static final LoadPlan PLAN = plan();

  private static LoadPlan plan() {
    String json =
        """
        {"requests": 2000, "requestsPerSecond": 100,
         "customers": [{"name":"a","key":"k1","weight":9}, {"name":"b","key":"k2","weight":1}],
         "services": [
          {"name":"chat","kind":"MODEL","tier":"high","weight":3,"dataCentres":["dc1"],
           "deadlineMillis":1000,"prompt":{"min":8,"max":800},"answer":{"min":2,"max":200}},
          {"name":"file","kind":"PLAIN","tier":"low","weight":1,"dataCentres":["dc1"],
           "customers":["b"],"deadlineMillis":1000}]}
        """;
    try {
      return Json.read(json.getBytes(StandardCharsets.UTF_8), LoadPlan.class);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Test
  void sameSeedYieldsSameRequests() {
    assertThat(Schedule.of(PLAN, 7)).isEqualTo(Schedule.of(PLAN, 7));
    assertThat(Schedule.of(PLAN, 7)).isNotEqualTo(Schedule.of(PLAN, 8));
  }

  @Test
  void followsRateWeightsAndRanges() {
    List<PlannedRequest> requests = Schedule.of(PLAN, 1);
    assertThat(requests.get(1999).arrivalNanos() / 1e9).isBetween(17.0, 23.0);
    List<PlannedRequest> chatRequests =
        requests.stream().filter(r -> r.service().name().equals("chat")).toList();
    assertThat(chatRequests.size()).isBetween(1400, 1600);
    assertThat(chatRequests).allMatch(r -> r.text().length() >= 32 && r.text().length() <= 3200);
    assertThat(chatRequests).anyMatch(r -> r.text().length() < 64);
    assertThat(chatRequests).anyMatch(r -> r.text().length() > 1600);
    assertThat(chatRequests).allMatch(r -> r.maxTokens() >= 2 && r.maxTokens() <= 200);
    assertThat(requests)
        .filteredOn(r -> r.service().name().equals("file"))
        .allMatch(r -> r.customer().name().equals("b"));
  }

  @Test
  void reportsAllFindingsOfInvalidPlan() {
    LoadPlan.Service service =
        new LoadPlan.Service(
            "s",
            LoadPlan.Kind.MODEL,
            "t",
            0,
            Set.of(),
            List.of("nobody"),
            0,
            0,
            new LoadPlan.Range(5, 1),
            null,
            null);
    LoadPlan invalid = new LoadPlan(0, 0, PLAN.customers(), List.of(service), List.of());
    assertThat(invalid.findings()).hasSize(7);
    assertThat(PLAN.findings()).isEmpty();
  }
}
