package io.samphiredyke.cli.command;

import io.samphiredyke.cli.ExitCode;
import io.samphiredyke.cli.publish.BlockingHttpClient.RequestFailedException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Client of the hosts' admin API and of the host list. */
final class AdminClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;

  private final CommandContext context;

  AdminClient(CommandContext context) {
    this.context = context;
  }

  /** Returns the addresses of all entry hosts, from {@code --hosts} or the host list. */
  List<InetSocketAddress> entryHosts() throws CommandException {
    String addresses = context.flag("hosts");
    if (addresses != null) {
      return AddressParser.parseList("--hosts", addresses);
    }
    String hostList = context.flag("host_list");
    if (hostList == null) {
      throw new CommandException(ExitCode.USAGE, "--hosts or --host-list is required");
    }
    InetSocketAddress address = AddressParser.parse("--host-list", hostList);
    List<InetSocketAddress> hosts = new ArrayList<>();
    for (HostListEntry host : get(address, "/v1/hosts", HostList.class).hosts()) {
      if (host.kind().equals("entry")) {
        hosts.add(AddressParser.parse("host list", host.address()));
      }
    }
    if (hosts.isEmpty()) {
      throw new CommandException(ExitCode.HOST_UNAVAILABLE, "the host list contains no entry host");
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
    String token = context.flag("admin_token");
    if (token != null) {
      request.header("authorization", "Bearer " + token);
    }
    HttpResponse response = execute(request.timeout(TIMEOUT).build());
    CommandException error = statusError(host, response);
    if (error != null) {
      throw error;
    }
    try {
      return response.json(type);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.HOST_UNAVAILABLE,
          formatAddress(host) + " sent a malformed response: " + e.getMessage());
    }
  }

  private HttpResponse execute(HttpRequest request) throws CommandException {
    try {
      return context.httpClient().send(request);
    } catch (RequestFailedException e) {
      throw new CommandException(ExitCode.HOST_UNAVAILABLE, String.valueOf(e.getMessage()));
    }
  }

  private static @Nullable CommandException statusError(
      InetSocketAddress host, HttpResponse response) {
    return switch (response.status()) {
      case OK, ACCEPTED -> null;
      case UNAUTHORIZED, FORBIDDEN ->
          new CommandException(
              ExitCode.HOST_UNAVAILABLE,
              formatAddress(host) + " rejected the request: check --admin-token");
      case NOT_FOUND ->
          new CommandException(ExitCode.NOT_FOUND, formatAddress(host) + ": not found");
      default ->
          new CommandException(
              ExitCode.HOST_UNAVAILABLE,
              formatAddress(host) + " responded with status " + response.status());
    };
  }

  static String formatAddress(InetSocketAddress host) {
    return host.getAddress().getHostAddress() + ":" + host.getPort();
  }

  /**
   * Response body of the host list.
   *
   * @param hosts the listed hosts
   */
  record HostList(List<HostListEntry> hosts) {}

  /**
   * An entry of the host list.
   *
   * @param name the name of the host
   * @param address the IP address and port of the host
   * @param kind {@code entry} or {@code endpoint}
   * @param dataCentre the data centre of the host
   * @param state {@code live} or {@code leaving}
   */
  record HostListEntry(String name, String address, String kind, String dataCentre, String state) {}
}
