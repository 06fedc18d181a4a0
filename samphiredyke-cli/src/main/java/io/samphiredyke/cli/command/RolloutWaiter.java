package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.ConfigurationStatus;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** Polls the hosts until each of them has applied the log up to a given offset. */
final class RolloutWaiter {

  private static final long POLL_INTERVAL_MILLIS = 200;

  private final CommandContext context;
  private final long offset;
  private final LongConsumer sleepMillis;
  private final AdminClient adminClient;
  private final Map<InetSocketAddress, String> pending = new LinkedHashMap<>();

  RolloutWaiter(CommandContext context, long offset, LongConsumer sleepMillis)
      throws CommandException {
    this.context = context;
    this.offset = offset;
    this.sleepMillis = sleepMillis;
    this.adminClient = new AdminClient(context);
  }

  ExitCode run() throws CommandException {
    List<InetSocketAddress> hosts = adminClient.entryHosts();
    long startNanos = System.nanoTime();
    hosts.forEach(host -> pending.put(host, "not polled yet"));
    while (true) {
      for (InetSocketAddress host : hosts) {
        poll(host);
      }
      long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
      if (pending.isEmpty()) {
        context.out().printf("in force on %d hosts after %d ms%n", hosts.size(), elapsedMillis);
        return ExitCode.OK;
      }
      if (elapsedMillis > context.timeout().toMillis()) {
        break;
      }
      sleepMillis.accept(POLL_INTERVAL_MILLIS);
    }
    context.err().printf("accepted, but not in force on %d hosts in time:%n", pending.size());
    pending.forEach(
        (host, state) ->
            context.err().println("  " + AdminClient.formatAddress(host) + ": " + state));
    return ExitCode.NOT_IN_FORCE;
  }

  private void poll(InetSocketAddress host) {
    if (!pending.containsKey(host)) {
      return;
    }
    try {
      ConfigurationStatus status =
          adminClient.get(host, "/v1/configuration", ConfigurationStatus.class);
      if (status.offset() >= offset) {
        pending.remove(host);
      } else {
        pending.put(host, "at offset " + status.offset() + ", expected " + offset);
      }
    } catch (CommandException e) {
      pending.put(host, String.valueOf(e.getMessage()));
    }
  }
}
