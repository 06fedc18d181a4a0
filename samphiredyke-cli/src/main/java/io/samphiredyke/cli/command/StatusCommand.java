package io.samphiredyke.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.EndpointStatus;
import io.samphiredyke.net.admin.HostStatus;
import io.samphiredyke.net.admin.TierStatus;
import io.samphiredyke.net.codec.Json;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Subcommand that shows the state of hosts, endpoints and queues. */
final class StatusCommand {

  private final CommandContext context;
  private final List<HostStatus> statuses = new ArrayList<>();
  private final Map<String, String> failures = new LinkedHashMap<>();

  private StatusCommand(CommandContext context) {
    this.context = context;
  }

  static ExitCode run(CommandContext context) throws CommandException {
    return new StatusCommand(context).run();
  }

  private ExitCode run() throws CommandException {
    AdminClient adminClient = new AdminClient(context);
    for (InetSocketAddress host : adminClient.entryHosts()) {
      try {
        statuses.add(adminClient.get(host, "/v1/status", HostStatus.class));
      } catch (CommandException e) {
        failures.put(AdminClient.formatAddress(host), String.valueOf(e.getMessage()));
      }
    }
    if (context.flags().getBoolean("json")) {
      printJson();
    } else {
      printTables();
    }
    if (statuses.isEmpty()) {
      context.err().println("no host responded");
      return ExitCode.HOST_UNAVAILABLE;
    }
    return ExitCode.OK;
  }

  /**
   * The output of {@code --json}.
   *
   * @param hosts the statuses of the hosts that responded
   * @param unanswered the errors of the other hosts, by address
   */
  record StatusReport(List<HostStatus> hosts, Map<String, String> unanswered) {}

  private void printJson() {
    try {
      StatusReport report = new StatusReport(statuses, failures);
      context
          .out()
          .println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the status can't be written as JSON", e);
    }
  }

  private void printTables() {
    TextTable hosts =
        new TextTable(
            "HOST", "DATA CENTRE", "ADDRESS", "STATE", "CONFIGURATION", "DIGEST", "LOG FAILURES");
    TextTable endpoints =
        new TextTable("ENDPOINT", "STATE", "BROKER", "IN FLIGHT", "LIMIT", "QUEUED");
    TextTable tiers = new TextTable("TIER", "HOST", "WAITING", "IN FLIGHT", "COMPLETED", "REFUSED");
    for (HostStatus host : statuses) {
      addHost(hosts, host);
      host.endpoints().forEach(endpoint -> addEndpoint(endpoints, host, endpoint));
      host.tiers().forEach(tier -> addTier(tiers, host, tier));
    }
    failures.forEach((host, error) -> hosts.addRow("?", "", host, error, "", "", ""));
    for (TextTable table : List.of(hosts, endpoints, tiers)) {
      if (!table.isEmpty()) {
        context.out().println(table);
      }
    }
    long distinctDigests =
        statuses.stream().map(host -> host.configuration().digest()).distinct().count();
    if (distinctDigests > 1) {
      context.out().printf("%d different configurations are in force%n", distinctDigests);
    }
  }

  private static void addHost(TextTable table, HostStatus host) {
    String digest = host.configuration().digest();
    table.addRow(
        host.host(),
        host.dataCentre(),
        host.address(),
        host.draining() ? "DRAINING" : host.configuration().readiness(),
        "offset " + host.configuration().offset() + (host.configuration().behind() ? " !" : ""),
        digest.substring(0, Math.min(12, digest.length())),
        host.configuration().logFailures());
  }

  private static void addEndpoint(TextTable table, HostStatus host, EndpointStatus endpoint) {
    table.addRow(
        endpoint.name(),
        endpoint.state(),
        host.host(),
        endpoint.inFlight(),
        endpoint.limit(),
        endpoint.queued());
  }

  private static void addTier(TextTable table, HostStatus host, TierStatus tier) {
    table.addRow(
        tier.tier(),
        host.host(),
        tier.waiting(),
        tier.inFlight(),
        tier.completed(),
        tier.refused());
  }
}
