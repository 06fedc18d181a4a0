package io.samphiredyke.standins.hosts;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Stand-in for the platform's host list, which publishes each change after a lag. */
public final class HostListStandIn extends AbstractStandIn<HostListFaults> {

  private static final String HOSTS_CONTROL_PATH = "/control/hosts";
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Duration lag;
  private final Map<String, HostEntry> published = new LinkedHashMap<>();
  private long reads;
  private long changes;

  private HostListStandIn(StandInRuntime runtime, List<HostEntry> hosts, Duration lag) {
    super(runtime, HostListFaults.class, HostListFaults.NONE);
    this.lag = lag;
    hosts.forEach(host -> published.put(host.name(), host));
  }

  private record Counts(long reads, long changes, int hosts) {}

  /**
   * Starts a host list stand-in.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @param hosts the initial list, published immediately
   * @param lag the time from a change to its publication
   * @return the stand-in; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<HostListStandIn> start(
      StandInRuntime runtime, InetSocketAddress address, List<HostEntry> hosts, Duration lag) {
    HostListStandIn list = new HostListStandIn(runtime, hosts, lag);
    return list.bind(address).thenApply(bound -> list);
  }

  @Override
  protected void serve(HttpExchange exchange) {
    if (!exchange.path().equals("/v1/hosts") || !exchange.method().equals("GET")) {
      respondNotFound(exchange);
      return;
    }
    reads++;
    if (faults().hang()) {
      return;
    }
    if (faults().unavailable()) {
      respondError(exchange, STATUS_UNAVAILABLE, "unavailable", "the list is out of service");
      return;
    }
    exchange.respondJson(STATUS_OK, new HostList(List.copyOf(published.values())));
  }

  @Override
  protected void serveControl(HttpExchange exchange) {
    String path = exchange.path();
    if (path.equals(HOSTS_CONTROL_PATH) && exchange.method().equals("POST")) {
      withBody(
          exchange,
          HostEntry.class,
          host -> {
            scheduleChange(() -> published.put(host.name(), host));
            exchange.respondJson(STATUS_OK, host);
          });
    } else if (path.startsWith(HOSTS_CONTROL_PATH + "/") && exchange.method().equals("DELETE")) {
      String name = path.substring(HOSTS_CONTROL_PATH.length() + 1);
      scheduleChange(() -> published.remove(name));
      exchange.respondJson(STATUS_OK, new Removed(name));
    } else {
      respondNotFound(exchange);
    }
  }

  private record Removed(String removed) {}

  /** Adds a host or replaces the host of that name, as {@code POST /control/hosts} does. */
  public CompletableFuture<Void> put(HostEntry host) {
    return CompletableFuture.runAsync(
        () -> scheduleChange(() -> published.put(host.name(), host)), runtime().loop());
  }

  private void scheduleChange(Runnable publish) {
    changes++;
    long overrideNanos = TimeUnit.MILLISECONDS.toNanos(faults().lagMillis());
    timers().scheduleAfter(overrideNanos > 0 ? overrideNanos : lag.toNanos(), publish);
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    return new Counts(reads, changes, published.size());
  }
}
