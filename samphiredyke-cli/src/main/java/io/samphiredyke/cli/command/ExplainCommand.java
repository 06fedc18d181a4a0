package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.RequestExplanation;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Shows what the hosts know of a request. */
final class ExplainCommand {

  private ExplainCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    String id = context.required("request_id");
    String path = "/v1/requests/" + URLEncoder.encode(id, StandardCharsets.UTF_8) + "/explain";
    HostPages pages = new HostPages(context);
    int known = 0;
    int unanswered = 0;
    for (InetSocketAddress host : pages.hosts()) {
      try {
        print(context, host, pages.get(host, path, RequestExplanation.class));
        known++;
      } catch (CommandException e) {
        if (e.exitCode() != ExitCode.NOT_FOUND) {
          unanswered++;
          context.err().println(e.getMessage());
        }
      }
    }
    if (known > 0) {
      return ExitCode.OK;
    }
    context.err().println("no host that answered knows request " + id);
    return unanswered > 0 ? ExitCode.HOST_UNAVAILABLE : ExitCode.NOT_FOUND;
  }

  private static void print(
      CommandContext context, InetSocketAddress host, RequestExplanation explanation) {
    context
        .out()
        .printf(
            "%s: %s, ran: %s, customer %s, service %s%n",
            HostPages.name(host),
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
