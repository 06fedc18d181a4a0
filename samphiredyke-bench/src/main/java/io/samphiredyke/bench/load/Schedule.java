package io.samphiredyke.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Draws the requests of a plan: the same plan and seed give the same requests.
 *
 * <p>Arrivals are a Poisson process that doesn't wait for answers.
 */
final class Schedule {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int SHARED_PARTS = 2;

  private final LoadPlan plan;
  private final SplittableRandom random;

  private Schedule(LoadPlan plan, long seed) {
    this.plan = plan;
    this.random = new SplittableRandom(seed);
  }

  static List<PlannedRequest> of(LoadPlan plan, long seed) {
    return new Schedule(plan, seed).draw();
  }

  private List<PlannedRequest> draw() {
    List<PlannedRequest> requests = new ArrayList<>();
    double seconds = 0;
    for (int i = 0; i < plan.requests(); i++) {
      seconds += -Math.log(1 - random.nextDouble()) / plan.requestsPerSecond();
      requests.add(request(i, (long) (seconds * TimeUnit.SECONDS.toNanos(1))));
    }
    return requests;
  }

  private PlannedRequest request(int index, long arrivalNanos) {
    LoadPlan.Service service = pick(plan.services(), LoadPlan.Service::weight);
    List<LoadPlan.Customer> callers =
        plan.customers().stream().filter(c -> service.isCalledBy(c.name())).toList();
    LoadPlan.Customer customer = pick(callers, LoadPlan.Customer::weight);
    String text =
        service.kind() == LoadPlan.Kind.MODEL
            ? prompt(index, service, customer)
            : "{\"customer\":\"" + customer.name() + "\",\"number\":" + index + "}";
    return new PlannedRequest(
        index, arrivalNanos, service, customer, text, length(service.answer()));
  }

  /** Returns a text of which the first half is the same for all prompts of customer and service. */
  private String prompt(int index, LoadPlan.Service service, LoadPlan.Customer customer) {
    int characters = length(service.prompt()) * CHARACTERS_PER_TOKEN;
    String shared = service.name() + " for " + customer.name() + "; ";
    String own = "case " + index + "; ";
    int sharedLength = characters / SHARED_PARTS;
    StringBuilder text = new StringBuilder(characters);
    repeat(text, shared, sharedLength);
    repeat(text, own, Math.max(characters, sharedLength + own.length()));
    return text.toString();
  }

  private static void repeat(StringBuilder text, String part, int until) {
    while (text.length() < until) {
      text.append(part, 0, Math.min(part.length(), until - text.length()));
    }
  }

  private int length(LoadPlan.@Nullable Range stated) {
    LoadPlan.Range range = stated == null ? LoadPlan.Range.ONE : stated;
    double ratio = (double) range.max() / range.min();
    return (int) Math.round(range.min() * Math.pow(ratio, random.nextDouble()));
  }

  private <T> T pick(List<T> choices, ToDoubleFunction<T> weight) {
    double total = choices.stream().mapToDouble(weight).sum();
    double left = random.nextDouble() * total;
    for (T choice : choices) {
      left -= weight.applyAsDouble(choice);
      if (left < 0) {
        return choice;
      }
    }
    return choices.get(choices.size() - 1);
  }
}
