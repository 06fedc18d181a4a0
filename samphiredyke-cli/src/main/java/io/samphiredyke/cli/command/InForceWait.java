package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.net.admin.ConfigurationStatus;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** Waits until every host reports that an offset of the log is in force there. */
final class InForceWait {

  private static final long PAUSE_MILLIS = 200;

  private final CommandContext context;
  private final long offset;
  private final LongConsumer pause;
  private final HostPages pages;
  private final Map<InetSocketAddress, String> pending = new LinkedHashMap<>();

  InForceWait(CommandContext context, long offset, LongConsumer pause) throws CommandException {
    this.context = context;
    this.offset = offset;
    this.pause = pause;
    this.pages = new HostPages(context);
  }

  ExitCode run() throws CommandException {
    List<InetSocketAddress> hosts = pages.hosts();
    long start = System.nanoTime();
    hosts.forEach(host -> pending.put(host, "not asked"));
    while (true) {
      for (InetSocketAddress host : hosts) {
        ask(host);
      }
      long elapsedMillis = (System.nanoTime() - start) / 1_000_000;
      if (pending.isEmpty()) {
        context.out().printf("in force on %d hosts after %d ms%n", hosts.size(), elapsedMillis);
        return ExitCode.OK;
      }
      if (elapsedMillis > context.timeout().toMillis()) {
        break;
      }
      pause.accept(PAUSE_MILLIS);
    }
    context.err().printf("accepted, but not seen in force on %d hosts:%n", pending.size());
    pending.forEach(
        (host, state) -> context.err().println("  " + HostPages.name(host) + ": " + state));
    return ExitCode.NOT_IN_FORCE;
  }

  private void ask(InetSocketAddress host) {
    if (!pending.containsKey(host)) {
      return;
    }
    try {
      ConfigurationStatus status = pages.get(host, "/v1/configuration", ConfigurationStatus.class);
      if (status.offset() >= offset) {
        pending.remove(host);
      } else {
        pending.put(host, "at offset " + status.offset() + ", wanted " + offset);
      }
    } catch (CommandException e) {
      pending.put(host, String.valueOf(e.getMessage()));
    }
  }
}
