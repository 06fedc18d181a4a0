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
 * What load to make, and where the endpoints that count it are.
 *
 * @param requests the number of requests
 * @param requestsPerSecond the mean rate of arrivals
 * @param customers who makes the requests
 * @param services what they ask for
 * @param endpoints whose counts are read afterwards
 */
public record LoadPlan(
    int requests,
    double requestsPerSecond,
    List<Customer> customers,
    List<Service> services,
    List<Endpoint> endpoints) {

  /** Copies the lists; absent ones are empty. */
  public LoadPlan {
    customers = copy(customers);
    services = copy(services);
    endpoints = copy(endpoints);
  }

  /**
   * A customer.
   *
   * @param name the name
   * @param key the key that it shows
   * @param weight its part of the requests, relative to the others
   */
  public record Customer(String name, String key, double weight) {}

  /** How a service is called. */
  public enum Kind {
    /** A chat completion. */
    MODEL,
    /** A call that must not be repeated. */
    PLAIN
  }

  /**
   * A service.
   *
   * @param name the name
   * @param kind how it is called
   * @param tier its tier, for the report
   * @param weight its part of the requests, relative to the others
   * @param dataCentres where its requests may run
   * @param customers who calls it; empty for all
   * @param deadlineMillis the time for the whole answer
   * @param firstTokenMillis the time for the first token; 0 for none
   * @param prompt the length of prompts, in tokens
   * @param answer the most tokens of answers
   * @param path the path below a plain service
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
   * A range of lengths; lengths are spread evenly over its logarithm.
   *
   * @param min the shortest
   * @param max the longest
   */
  public record Range(int min, int max) {

    /** The range of a service that states none. */
    static final Range ONE = new Range(1, 1);

    boolean isValid() {
      return min >= 1 && max >= min;
    }
  }

  /**
   * An endpoint.
   *
   * @param name its name
   * @param address {@code ip:port}
   */
  public record Endpoint(String name, String address) {}

  /**
   * Reads and checks a plan.
   *
   * @throws IOException if the file can't be read or isn't a plan
   * @throws LoadPlanException with all findings if the plan is wrong
   */
  public static LoadPlan read(Path file) throws IOException {
    LoadPlan plan = Json.read(Files.readAllBytes(file), LoadPlan.class);
    List<String> findings = plan.findings();
    if (!findings.isEmpty()) {
      throw new LoadPlanException(findings.stream().map(f -> file + ": " + f).toList());
    }
    return plan;
  }

  /** Returns the plan with another number of requests. */
  public LoadPlan withRequests(int count) {
    return new LoadPlan(count, requestsPerSecond, customers, services, endpoints);
  }

  List<String> findings() {
    List<String> findings = new ArrayList<>();
    require(requests > 0, "requests must be positive", findings);
    require(requestsPerSecond > 0, "requestsPerSecond must be positive", findings);
    require(!customers.isEmpty(), "customers is empty", findings);
    require(!services.isEmpty(), "services is empty", findings);
    Set<String> names = customers.stream().map(Customer::name).collect(Collectors.toSet());
    for (Service service : services) {
      checkService(service, names, findings);
    }
    return findings;
  }

  private static void checkService(Service service, Set<String> names, List<String> findings) {
    String place = "service " + service.name() + ": ";
    require(service.kind() != null, place + "kind is missing", findings);
    require(service.weight() > 0, place + "weight must be positive", findings);
    require(service.deadlineMillis() > 0, place + "deadlineMillis must be positive", findings);
    require(hasDataCentre(service), place + "dataCentres is empty", findings);
    require(names.stream().anyMatch(service::isCalledBy), place + "no customer calls it", findings);
    boolean hasLengths = isValid(service.prompt()) && isValid(service.answer());
    require(hasLengths, place + "prompt and answer must be ranges from 1 upwards", findings);
  }

  private static boolean hasDataCentre(Service service) {
    return service.dataCentres() != null && !service.dataCentres().isEmpty();
  }

  private static boolean isValid(@Nullable Range range) {
    return range == null || range.isValid();
  }

  private static void require(boolean holds, String finding, List<String> findings) {
    if (!holds) {
      findings.add(finding);
    }
  }

  private static <T> List<T> copy(@Nullable List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
