package io.samphiredyke.bench.load;

import io.samphiredyke.net.codec.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Load to generate, and the endpoints whose counts verify it.
 *
 * @param requests number of requests
 * @param requestsPerSecond mean arrival rate
 * @param customers customers that send the requests
 * @param services called services
 * @param endpoints endpoints whose counts are read after the run
 */
public record LoadPlan(
    int requests,
    double requestsPerSecond,
    List<Customer> customers,
    List<Service> services,
    List<Endpoint> endpoints) {

  /** Copies the lists; a missing list becomes empty. */
  public LoadPlan {
    customers = copy(customers);
    services = copy(services);
    endpoints = copy(endpoints);
  }

  /**
   * Customer that sends requests.
   *
   * @param name the name
   * @param key the API key
   * @param weight relative share of the requests
   */
  public record Customer(String name, String key, double weight) {}

  /** Protocol of a service. */
  public enum Kind {
    /** Chat completions. */
    MODEL,
    /** Plain calls that are not idempotent. */
    PLAIN
  }

  /**
   * Service that is called.
   *
   * @param name the name
   * @param kind protocol of the service
   * @param tier tier under which the report lists the service
   * @param weight relative share of the requests
   * @param dataCentres data centres in which its requests may run
   * @param customers customers that call it; all if empty or absent
   * @param deadlineMillis time limit for the complete response
   * @param firstTokenMillis time limit for the first token; 0 for no limit
   * @param prompt range of prompt lengths, in tokens
   * @param answer range of the maximum response length, in tokens
   * @param path path at a plain service
   */
  public record Service(
      String name,
      Kind kind,
      String tier,
      double weight,
      Set<String> dataCentres,
      @Nullable List<String> customers,
      long deadlineMillis,
      long firstTokenMillis,
      @Nullable Range prompt,
      @Nullable Range answer,
      @Nullable String path) {

    /** Returns whether a customer calls this service. */
    boolean isCalledBy(String customer) {
      return customers == null || customers.isEmpty() || customers.contains(customer);
    }
  }

  /**
   * Range from which lengths are drawn with a log-uniform distribution.
   *
   * @param min minimum length
   * @param max maximum length
   */
  public record Range(int min, int max) {

    /** Range of a service that does not define one. */
    static final Range ONE = new Range(1, 1);

    boolean isValid() {
      return min >= 1 && max >= min;
    }
  }

  /**
   * Endpoint whose counts are read.
   *
   * @param name name of the endpoint
   * @param address address as {@code ip:port}
   */
  public record Endpoint(String name, String address) {}

  /**
   * Reads and validates a plan.
   *
   * @throws IOException if the file can't be read or parsed
   * @throws LoadPlanException with all findings if the plan is invalid
   */
  public static LoadPlan read(Path file) throws IOException {
    LoadPlan plan = Json.read(Files.readAllBytes(file), LoadPlan.class);
    List<String> findings = plan.findings();
    if (!findings.isEmpty()) {
      throw new LoadPlanException(findings.stream().map(f -> file + ": " + f).toList());
    }
    return plan;
  }

  /** Returns a copy of the plan with another number of requests. */
  public LoadPlan withRequests(int count) {
    return new LoadPlan(count, requestsPerSecond, customers, services, endpoints);
  }

  List<String> findings() {
    List<String> findings = new ArrayList<>();
    require(requests > 0, "requests must be positive", findings);
    require(requestsPerSecond > 0, "requestsPerSecond must be positive", findings);
    require(!customers.isEmpty(), "customers is empty", findings);
    require(!services.isEmpty(), "services is empty", findings);
    Set<String> customerNames = customers.stream().map(Customer::name).collect(Collectors.toSet());
    for (Service service : services) {
      checkService(service, customerNames, findings);
    }
    return findings;
  }

  private static void checkService(
      Service service, Set<String> customerNames, List<String> findings) {
    String prefix = "service " + service.name() + ": ";
    require(service.kind() != null, prefix + "kind is missing", findings);
    require(service.weight() > 0, prefix + "weight must be positive", findings);
    require(service.deadlineMillis() > 0, prefix + "deadlineMillis must be positive", findings);
    require(hasDataCentre(service), prefix + "dataCentres is empty", findings);
    require(
        customerNames.stream().anyMatch(service::isCalledBy),
        prefix + "no customer calls it",
        findings);
    boolean hasLengths = isValid(service.prompt()) && isValid(service.answer());
    require(hasLengths, prefix + "prompt and answer must be ranges from 1 upwards", findings);
  }

  private static boolean hasDataCentre(Service service) {
    return service.dataCentres() != null && !service.dataCentres().isEmpty();
  }

  private static boolean isValid(@Nullable Range range) {
    return range == null || range.isValid();
  }

  private static void require(boolean isValid, String finding, List<String> findings) {
    if (!isValid) {
      findings.add(finding);
    }
  }

  private static <T> List<T> copy(@Nullable List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
