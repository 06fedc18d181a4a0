package io.samphiredyke.core.config;

import io.samphiredyke.core.config.Finding.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Validates the values of a single item, independently of other items. */
public final class ItemValidator {

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS =
      Pattern.compile("(?<ip>\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(?<port>\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final long MAX_DEADLINE_MILLIS = 3_600_000L;
  private static final int MAX_OUTPUT_TOKENS = 1_000_000;
  private static final int MAX_CONCURRENCY = 10_000;
  private static final int MAX_IN_FLIGHT = 1_000_000;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_GENERATION = 100;
  private static final int MAX_TICKET_SECONDS = 86_400;
  private static final int MIN_ERROR_STATUS = 400;
  private static final int MAX_ERROR_STATUS = 599;

  private final Item item;
  private final List<Finding> findings = new ArrayList<>();

  private ItemValidator(Item item) {
    this.item = item;
  }

  /**
   * Returns all validation errors of an item's own values.
   *
   * @param item the item
   */
  public static List<Finding> check(Item item) {
    ItemValidator validator = new ItemValidator(item);
    validator.checkName();
    validator.checkValues();
    return validator.findings;
  }

  private void checkName() {
    if (!NAME.matcher(item.name()).matches()) {
      addFinding(
          "name", "must be 1 to 63 of a-z, 0-9, '.', '_' and '-', and begin with a-z or 0-9");
    }
  }

  private void checkValues() {
    if (item instanceof Tier tier) {
      requireRange("rank", tier.rank(), 0, Tier.MAX_RANK);
    } else if (item instanceof DataCentre dataCentre) {
      requireNonBlank("region", dataCentre.region());
    } else if (item instanceof Customer customer) {
      checkCustomer(customer);
    } else if (item instanceof Service service) {
      checkService(service);
    } else if (item instanceof Endpoint endpoint) {
      checkEndpoint(endpoint);
    } else if (item instanceof Placement placement) {
      requireNonBlank("endpoint", placement.endpoint());
      requireNonBlank("model", placement.model());
      requireNonBlank("version", placement.version());
    } else if (item instanceof Defaults defaults) {
      checkDefaults(defaults);
    }
  }

  private void checkCustomer(Customer customer) {
    if (customer.keyDigests().isEmpty()) {
      addFinding("keyDigests", "needs at least one digest of an API key");
    }
    for (String digest : customer.keyDigests()) {
      if (!DIGEST.matcher(digest).matches()) {
        addFinding("keyDigests", "'" + digest + "' is not a SHA-256 digest of 64 digits 0-9a-f");
      }
    }
    requireRange("inFlightLimit", customer.inFlightLimit(), 1, MAX_IN_FLIGHT);
    requireRange("tokensPerMinute", customer.tokensPerMinute(), 1, Long.MAX_VALUE);
    requireRange("weight", customer.weight(), 1, MAX_WEIGHT);
  }

  private void checkService(Service service) {
    boolean isModel = service.kind() == ServiceKind.MODEL;
    String model = service.model();
    if (isModel && (model == null || model.isBlank())) {
      addFinding("model", "is required for a service of kind MODEL");
    }
    if (!isModel && model != null) {
      addFinding("model", "is only for a service of kind MODEL");
    }
    if (service.dataCentres().isEmpty()) {
      addFinding("dataCentres", "needs at least one permitted data centre");
    }
    requireNonBlank("tier", service.tier());
    requireRange("deadlineMillis", service.deadlineMillis(), 0, MAX_DEADLINE_MILLIS);
    requireRange("firstTokenMillis", service.firstTokenMillis(), 0, MAX_DEADLINE_MILLIS);
    requireRange("tokenIntervalMillis", service.tokenIntervalMillis(), 0, MAX_DEADLINE_MILLIS);
    requireRange("outputTokensHint", service.outputTokensHint(), 0, MAX_OUTPUT_TOKENS);
  }

  private void checkEndpoint(Endpoint endpoint) {
    boolean isEngine = endpoint.kind() == EndpointKind.MODEL_ENGINE;
    checkAddress(endpoint.address());
    requireNonBlank("dataCentre", endpoint.dataCentre());
    if (isEngine && endpoint.models().isEmpty()) {
      addFinding("models", "needs at least one model for an endpoint of kind MODEL_ENGINE");
    }
    if (isEngine && !endpoint.services().isEmpty()) {
      addFinding("services", "is only for an endpoint of kind PLAIN_SERVICE");
    }
    if (!isEngine && endpoint.services().isEmpty()) {
      addFinding("services", "needs at least one service for an endpoint of kind PLAIN_SERVICE");
    }
    if (!isEngine && !endpoint.models().isEmpty()) {
      addFinding("models", "is only for an endpoint of kind MODEL_ENGINE");
    }
    requireRange("generation", endpoint.generation(), 1, MAX_GENERATION);
    requireRange("maxConcurrency", endpoint.maxConcurrency(), 1, MAX_CONCURRENCY);
    for (int status : endpoint.notRunStatuses()) {
      requireRange("notRunStatuses", status, MIN_ERROR_STATUS, MAX_ERROR_STATUS);
    }
  }

  private void checkDefaults(Defaults defaults) {
    if (!defaults.name().equals(Defaults.NAME)) {
      addFinding("name", "must be '" + Defaults.NAME + "'");
    }
    requireRange("deadlineMillis", defaults.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
    requireRange("firstTokenMillis", defaults.firstTokenMillis(), 1, MAX_DEADLINE_MILLIS);
    requireRange("tokenIntervalMillis", defaults.tokenIntervalMillis(), 1, MAX_DEADLINE_MILLIS);
    requireRange("outputTokensHint", defaults.outputTokensHint(), 1, MAX_OUTPUT_TOKENS);
    requireRange("resumeWindowMillis", defaults.resumeWindowMillis(), 0, MAX_DEADLINE_MILLIS);
    requireRange("ticketSeconds", defaults.ticketSeconds(), 1, MAX_TICKET_SECONDS);
  }

  private void checkAddress(String address) {
    var matcher = ADDRESS.matcher(address);
    if (!matcher.matches()) {
      addFinding(
          "address", "'" + address + "' is not an IP address and port such as 10.0.0.7:8000");
      return;
    }
    requireRange("address", Integer.parseInt(matcher.group("port")), 1, MAX_PORT);
    String ip = matcher.group("ip");
    if (ip.startsWith("[")) {
      return;
    }
    for (String octet : ip.split("\\.", -1)) {
      requireRange("address", Integer.parseInt(octet), 0, MAX_OCTET);
    }
  }

  private void requireNonBlank(String field, String value) {
    if (value.isBlank()) {
      addFinding(field, "is required");
    }
  }

  private void requireRange(String field, long value, long min, long max) {
    if (value < min || value > max) {
      String upper = max == Long.MAX_VALUE ? "" : " and at most " + max;
      addFinding(field, value + " is out of range; must be at least " + min + upper);
    }
  }

  private void addFinding(String field, String message) {
    findings.add(new Finding(item.key(), field, Code.INVALID_VALUE, message));
  }
}
