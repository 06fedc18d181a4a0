package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.HttpCalls.CallFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The operators' pages of the hosts. */
final class HostPages {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;

  private final CommandContext context;

  HostPages(CommandContext context) {
    this.context = context;
  }

  /** Returns the addresses of all entry hosts, from {@code --hosts} or the host list. */
  List<InetSocketAddress> hosts() throws CommandException {
    String given = context.text("hosts");
    if (given != null) {
      return Addresses.parseList("--hosts", given);
    }
    String hostList = context.text("host_list");
    if (hostList == null) {
      throw new CommandException(
          ExitCode.USAGE, "give the hosts by --hosts or the host list by --host-list");
    }
    InetSocketAddress address = Addresses.parse("--host-list", hostList);
    List<InetSocketAddress> hosts = new ArrayList<>();
    for (HostListEntry host : get(address, "/v1/hosts", HostList.class).hosts()) {
      if (host.kind().equals("entry")) {
        hosts.add(Addresses.parse("host list", host.address()));
      }
    }
    if (hosts.isEmpty()) {
      throw new CommandException(ExitCode.HOST_UNAVAILABLE, "the host list names no entry host");
    }
    return hosts;
  }

  <T> T get(InetSocketAddress host, String path, Class<T> type) throws CommandException {
    return send(host, HttpRequest.get(host, path), type);
  }

  <T> T post(InetSocketAddress host, String path, Class<T> type) throws CommandException {
    return send(host, HttpRequest.post(host, path, new byte[0]), type);
  }

  private <T> T send(InetSocketAddress host, HttpRequest.Builder request, Class<T> type)
      throws CommandException {
    String token = context.text("admin_token");
    if (token != null) {
      request.header("authorization", "Bearer " + token);
    }
    HttpResponse response = answer(request.timeout(TIMEOUT).build());
    CommandException refusal = refusal(host, response);
    if (refusal != null) {
      throw refusal;
    }
    try {
      return response.json(type);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.HOST_UNAVAILABLE, name(host) + " gave a malformed answer: " + e.getMessage());
    }
  }

  private HttpResponse answer(HttpRequest request) throws CommandException {
    try {
      return context.calls().send(request);
    } catch (CallFailedException e) {
      throw new CommandException(ExitCode.HOST_UNAVAILABLE, String.valueOf(e.getMessage()));
    }
  }

  private static @Nullable CommandException refusal(InetSocketAddress host, HttpResponse response) {
    return switch (response.status()) {
      case OK, ACCEPTED -> null;
      case UNAUTHORIZED, FORBIDDEN ->
          new CommandException(
              ExitCode.HOST_UNAVAILABLE, name(host) + " refused: check --admin-token");
      case NOT_FOUND -> new CommandException(ExitCode.NOT_FOUND, name(host) + " does not know it");
      default ->
          new CommandException(
              ExitCode.HOST_UNAVAILABLE, name(host) + " answered status " + response.status());
    };
  }

  static String name(InetSocketAddress host) {
    return host.getAddress().getHostAddress() + ":" + host.getPort();
  }

  /**
   * The answer of the host list.
   *
   * @param hosts the hosts
   */
  record HostList(List<HostListEntry> hosts) {}

  /**
   * A host of the host list.
   *
   * @param name its name
   * @param address its address
   * @param kind {@code entry} or {@code endpoint}
   * @param dataCentre its data centre
   * @param state {@code live} or {@code leaving}
   */
  record HostListEntry(String name, String address, String kind, String dataCentre, String state) {}
}
