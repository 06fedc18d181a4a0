package io.samphiredyke.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.client.internal.HostPortParser;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Request and token counts reported by one endpoint.
 *
 * @param name name of the endpoint
 * @param dataCentre data centre of the endpoint
 * @param executions number of executions by request id
 * @param prefilledTokens prompt tokens processed by the endpoint
 * @param wastedPrefillTokens prefilled tokens of executions that were cancelled or whose response
 *     was discarded
 */
record EndpointCounts(
    String name,
    String dataCentre,
    Map<String, Long> executions,
    long prefilledTokens,
    long wastedPrefillTokens) {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /**
   * Counts collected from all endpoints.
   *
   * @param endpoints counts of the endpoints that responded
   * @param missing endpoints whose counts could not be read, with the reason
   */
  record Collected(List<EndpointCounts> endpoints, List<String> missing) {}

  /** Reads the counts of all endpoints; blocks until each has responded or timed out. */
  static Collected readAll(HttpClient http, List<LoadPlan.Endpoint> endpoints) {
    List<EndpointCounts> counts = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (LoadPlan.Endpoint endpoint : endpoints) {
      HttpRequest request =
          HttpRequest.get(HostPortParser.parse(endpoint.address()), "/control/counts?requests=true")
              .timeout(TIMEOUT)
              .build();
      try {
        HttpResponse response = http.send(request).join();
        counts.add(parse(endpoint.name(), response.body()));
      } catch (RuntimeException | IOException e) {
        missing.add(endpoint.name() + " (" + e.getMessage() + ")");
      }
    }
    return new Collected(counts, missing);
  }

  /**
   * Parses the counts page of an engine or a plain service.
   *
   * @throws IOException if the page is malformed
   */
  static EndpointCounts parse(String name, byte[] page) throws IOException {
    JsonNode root = Json.mapper().readTree(page);
    JsonNode requests = root.path("requests");
    if (!requests.isObject() || !root.path("dataCentre").isTextual()) {
      throw new IOException("the counts lack the data centre or the counts by request");
    }
    Map<String, Long> executions = new HashMap<>();
    requests
        .properties()
        .forEach(
            entry -> {
              JsonNode count = entry.getValue();
              long executionCount =
                  count.isNumber() ? count.asLong() : count.path("executions").asLong();
              executions.put(entry.getKey(), executionCount);
            });
    JsonNode total = root.path("total");
    return new EndpointCounts(
        name,
        root.path("dataCentre").asText(),
        executions,
        total.path("prefilledTokens").asLong(),
        total.path("wastedPrefillTokens").asLong());
  }
}
