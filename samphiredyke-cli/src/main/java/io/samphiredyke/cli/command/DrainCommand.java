package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.DrainStatus;
import java.net.InetSocketAddress;

/** Begins the planned stop of a host. */
final class DrainCommand {

  private DrainCommand() {}

  static ExitCode run(CommandContext context) throws CommandException {
    context.required("admin_token");
    InetSocketAddress host = Addresses.parse("host", context.required("host"));
    DrainStatus status = new HostPages(context).post(host, "/v1/drain", DrainStatus.class);
    context.out().printf("%s drains; %d requests still run%n", status.host(), status.inFlight());
    return ExitCode.OK;
  }
}
