package io.samphiredyke.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Generates the request schedule of a plan; the same plan and seed yield the same requests.
 *
 * <p>Arrivals form a Poisson process that is independent of responses.
 */
final class Schedule {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int SHARED_PREFIX_DIVISOR = 2;

  private final LoadPlan plan;
  private final SplittableRandom random;

  private Schedule(LoadPlan plan, long seed) {
    this.plan = plan;
    this.random = new SplittableRandom(seed);
  }

  static List<PlannedRequest> of(LoadPlan plan, long seed) {
    return new Schedule(plan, seed).generate();
  }

  private List<PlannedRequest> generate() {
    List<PlannedRequest> requests = new ArrayList<>();
    double seconds = 0;
    for (int i = 0; i < plan.requests(); i++) {
      seconds += -Math.log(1 - random.nextDouble()) / plan.requestsPerSecond();
      requests.add(request(i, (long) (seconds * TimeUnit.SECONDS.toNanos(1))));
    }
    return requests;
  }

  private PlannedRequest request(int index, long arrivalNanos) {
    LoadPlan.Service service = weightedChoice(plan.services(), LoadPlan.Service::weight);
    List<LoadPlan.Customer> callers =
        plan.customers().stream().filter(c -> service.isCalledBy(c.name())).toList();
    LoadPlan.Customer customer = weightedChoice(callers, LoadPlan.Customer::weight);
    String text =
        service.kind() == LoadPlan.Kind.MODEL
            ? prompt(index, service, customer)
            : "{\"customer\":\"" + customer.name() + "\",\"number\":" + index + "}";
    return new PlannedRequest(
        index, arrivalNanos, service, customer, text, randomLength(service.answer()));
  }

  /** Returns a prompt whose first half is the same for all prompts of the customer and service. */
  private String prompt(int index, LoadPlan.Service service, LoadPlan.Customer customer) {
    int characters = randomLength(service.prompt()) * CHARACTERS_PER_TOKEN;
    String shared = service.name() + " for " + customer.name() + "; ";
    String unique = "case " + index + "; ";
    int sharedLength = characters / SHARED_PREFIX_DIVISOR;
    StringBuilder text = new StringBuilder(characters);
    appendRepeated(text, shared, sharedLength);
    appendRepeated(text, unique, Math.max(characters, sharedLength + unique.length()));
    return text.toString();
  }

  private static void appendRepeated(StringBuilder text, String part, int until) {
    while (text.length() < until) {
      text.append(part, 0, Math.min(part.length(), until - text.length()));
    }
  }

  private int randomLength(LoadPlan.@Nullable Range configured) {
    LoadPlan.Range range = configured == null ? LoadPlan.Range.ONE : configured;
    double ratio = (double) range.max() / range.min();
    return (int) Math.round(range.min() * Math.pow(ratio, random.nextDouble()));
  }

  private <T> T weightedChoice(List<T> choices, ToDoubleFunction<T> weight) {
    double total = choices.stream().mapToDouble(weight).sum();
    double remaining = random.nextDouble() * total;
    for (T choice : choices) {
      remaining -= weight.applyAsDouble(choice);
      if (remaining < 0) {
        return choice;
      }
    }
    return choices.get(choices.size() - 1);
  }
}
