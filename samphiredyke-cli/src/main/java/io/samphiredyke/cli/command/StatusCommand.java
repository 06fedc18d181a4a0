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

/** Shows hosts, endpoints and queues. */
final class StatusCommand {

  private final CommandContext context;
  private final List<HostStatus> answered = new ArrayList<>();
  private final Map<String, String> unanswered = new LinkedHashMap<>();

  private StatusCommand(CommandContext context) {
    this.context = context;
  }

  static ExitCode run(CommandContext context) throws CommandException {
    return new StatusCommand(context).run();
  }

  private ExitCode run() throws CommandException {
    HostPages pages = new HostPages(context);
    for (InetSocketAddress host : pages.hosts()) {
      try {
        answered.add(pages.get(host, "/v1/status", HostStatus.class));
      } catch (CommandException e) {
        unanswered.put(HostPages.name(host), String.valueOf(e.getMessage()));
      }
    }
    if (context.flags().getBoolean("json")) {
      printJson();
    } else {
      printTables();
    }
    if (answered.isEmpty()) {
      context.err().println("no host answered");
      return ExitCode.HOST_UNAVAILABLE;
    }
    return ExitCode.OK;
  }

  /**
   * What is printed with {@code --json}.
   *
   * @param hosts the hosts that answered
   * @param unanswered why the others did not, by address
   */
  record StatusReport(List<HostStatus> hosts, Map<String, String> unanswered) {}

  private void printJson() {
    try {
      StatusReport report = new StatusReport(answered, unanswered);
      context
          .out()
          .println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a status can always be written", e);
    }
  }

  private void printTables() {
    TextTable hosts =
        new TextTable(
            "HOST", "DATA CENTRE", "ADDRESS", "STATE", "CONFIGURATION", "DIGEST", "LOG FAILURES");
    TextTable endpoints =
        new TextTable("ENDPOINT", "STATE", "BROKER", "IN FLIGHT", "LIMIT", "QUEUED");
    TextTable tiers = new TextTable("TIER", "HOST", "WAITING", "IN FLIGHT", "COMPLETED", "REFUSED");
    for (HostStatus host : answered) {
      addHost(hosts, host);
      host.endpoints().forEach(endpoint -> addEndpoint(endpoints, host, endpoint));
      host.tiers().forEach(tier -> addTier(tiers, host, tier));
    }
    unanswered.forEach((host, why) -> hosts.row("?", "", host, why, "", "", ""));
    for (TextTable table : List.of(hosts, endpoints, tiers)) {
      if (!table.isEmpty()) {
        context.out().println(table);
      }
    }
    long versions = answered.stream().map(host -> host.configuration().digest()).distinct().count();
    if (versions > 1) {
      context.out().printf("%d different configurations are in force%n", versions);
    }
  }

  private static void addHost(TextTable table, HostStatus host) {
    String digest = host.configuration().digest();
    table.row(
        host.host(),
        host.dataCentre(),
        host.address(),
        host.draining() ? "DRAINING" : host.configuration().readiness(),
        "offset " + host.configuration().offset() + (host.configuration().behind() ? " !" : ""),
        digest.substring(0, Math.min(12, digest.length())),
        host.configuration().logFailures());
  }

  private static void addEndpoint(TextTable table, HostStatus host, EndpointStatus endpoint) {
    table.row(
        endpoint.name(),
        endpoint.state(),
        host.host(),
        endpoint.inFlight(),
        endpoint.limit(),
        endpoint.queued());
  }

  private static void addTier(TextTable table, HostStatus host, TierStatus tier) {
    table.row(
        tier.tier(),
        host.host(),
        tier.waiting(),
        tier.inFlight(),
        tier.completed(),
        tier.refused());
  }
}
