package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.RequestExplanation;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Subcommand that shows what the hosts know about a request. */
final class ExplainCommand {

  private ExplainCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    String id = context.requiredFlag("request_id");
    String path = "/v1/requests/" + URLEncoder.encode(id, StandardCharsets.UTF_8) + "/explain";
    AdminClient adminClient = new AdminClient(context);
    int found = 0;
    int failed = 0;
    for (InetSocketAddress host : adminClient.entryHosts()) {
      try {
        print(context, host, adminClient.get(host, path, RequestExplanation.class));
        found++;
      } catch (CommandException e) {
        if (e.exitCode() != ExitCode.NOT_FOUND) {
          failed++;
          context.err().println(e.getMessage());
        }
      }
    }
    if (found > 0) {
      return ExitCode.OK;
    }
    context.err().println("no host that responded knows request " + id);
    return failed > 0 ? ExitCode.HOST_UNAVAILABLE : ExitCode.NOT_FOUND;
  }

  private static void print(
      CommandContext context, InetSocketAddress host, RequestExplanation explanation) {
    context
        .out()
        .printf(
            "%s: %s, ran: %s, customer %s, service %s%n",
            AdminClient.formatAddress(host),
            explanation.state(),
            explanation.ran(),
            explanation.customer(),
            explanation.service());
    for (RequestExplanation.Step step : explanation.steps()) {
      context
          .out()
          .printf(
              "  %s  %s  %s%n",
              Instant.ofEpochMilli(step.timeMillis()), step.event(), step.detail());
    }
  }
}
