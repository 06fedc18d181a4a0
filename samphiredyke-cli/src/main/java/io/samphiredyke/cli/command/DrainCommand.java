package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.DrainStatus;
import java.net.InetSocketAddress;

/** Subcommand that starts draining a host before it is stopped. */
final class DrainCommand {

  private DrainCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    context.requiredFlag("admin_token");
    InetSocketAddress host = AddressParser.parse("host", context.requiredFlag("host"));
    DrainStatus status = new AdminClient(context).post(host, "/v1/drain", DrainStatus.class);
    context.out().printf("%s drains; %d requests still run%n", status.host(), status.inFlight());
    return ExitCode.OK;
  }
}
