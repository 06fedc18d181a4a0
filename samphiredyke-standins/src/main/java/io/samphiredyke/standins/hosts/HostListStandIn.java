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

/** The platform's host list, which publishes each change after a lag. */
public final class HostListStandIn extends AbstractStandIn<HostListFaults> {

  private static final String CHANGE_PATH = "/control/hosts";
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
   * Starts a host list.
   *
   * @param address where to listen; a port of 0 takes a free one
   * @param hosts the list at start, published at once
   * @param lag how long a change takes to be published
   * @return the list; fails with {@link java.net.BindException} when the address is in use
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
    if (path.equals(CHANGE_PATH) && exchange.method().equals("POST")) {
      withBody(
          exchange,
          HostEntry.class,
          host -> {
            change(() -> published.put(host.name(), host));
            exchange.respondJson(STATUS_OK, host);
          });
    } else if (path.startsWith(CHANGE_PATH + "/") && exchange.method().equals("DELETE")) {
      String name = path.substring(CHANGE_PATH.length() + 1);
      change(() -> published.remove(name));
      exchange.respondJson(STATUS_OK, new Removed(name));
    } else {
      respondNotFound(exchange);
    }
  }

  private record Removed(String removed) {}

  /** Adds a host, or replaces the one of its name, as {@code POST /control/hosts} does. */
  public CompletableFuture<Void> put(HostEntry host) {
    return CompletableFuture.runAsync(
        () -> change(() -> published.put(host.name(), host)), runtime().loop());
  }

  private void change(Runnable publish) {
    changes++;
    long other = TimeUnit.MILLISECONDS.toNanos(faults().lagMillis());
    timers().after(other > 0 ? other : lag.toNanos(), publish);
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    return new Counts(reads, changes, published.size());
  }
}
