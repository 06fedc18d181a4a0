package io.samphiredyke.daemon.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Polls the host list of the platform.
 *
 * <p>The list lags behind and may be unreachable; the last list that was read stays valid. Runs on
 * the control loop.
 */
public final class HostListPoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final ControlEventLoop loop;
  private final HttpClient http;
  private final List<InetSocketAddress> addresses;
  private final List<Runnable> listeners = new ArrayList<>();
  private int nextAddress;
  private List<String> entryAddresses = List.of();
  private Set<String> drainingAddresses = Set.of();
  private boolean isReachable;

  /** Creates a poller with an empty list. */
  public HostListPoller(ControlEventLoop loop, HttpClient http, List<InetSocketAddress> addresses) {
    this.loop = loop;
    this.http = http;
    this.addresses = List.copyOf(addresses);
  }

  /** Adds an action that runs after each change of the list. */
  public void onChange(Runnable action) {
    listeners.add(action);
  }

  /** Starts polling the list. */
  public void start(Duration interval) {
    loop.scheduleWithFixedDelay(this::poll, interval);
    loop.execute(this::poll);
  }

  /** Returns the peer addresses of the live entry hosts on the list. */
  public List<String> entryAddresses() {
    return entryAddresses;
  }

  /** Returns whether an address is on the list with a state other than {@code live}. */
  public boolean isDraining(String address) {
    return drainingAddresses.contains(address);
  }

  /** Returns whether the last attempt to read the list succeeded. */
  public boolean isReachable() {
    return isReachable;
  }

  private void poll() {
    if (addresses.isEmpty()) {
      return;
    }
    InetSocketAddress address = addresses.get(Math.floorMod(nextAddress, addresses.size()));
    HttpRequest request = HttpRequest.get(address, "/v1/hosts").timeout(TIMEOUT).build();
    loop.whenDone(http.send(request), this::onList, failure -> onFailure());
  }

  private void onList(HttpResponse response) {
    try {
      if (response.status() == OK) {
        apply(response.json(JsonNode.class));
        return;
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot parse the host list");
    }
    onFailure();
  }

  private void onFailure() {
    nextAddress++;
    isReachable = false;
  }

  private void apply(JsonNode list) {
    isReachable = true;
    List<String> entries = new ArrayList<>();
    Set<String> draining = new HashSet<>();
    for (JsonNode host : list.path("hosts")) {
      String address = host.path("address").asText();
      boolean isLive = host.path("state").asText().equals("live");
      if (!isLive) {
        draining.add(address);
      } else if (host.path("kind").asText().equals("entry")) {
        entries.add(address);
      }
    }
    if (entries.equals(entryAddresses) && draining.equals(drainingAddresses)) {
      return;
    }
    entryAddresses = List.copyOf(entries);
    drainingAddresses = Set.copyOf(draining);
    logger.atInfo().log(
        "host list changed: entries=%d draining=%d", entries.size(), drainingAddresses.size());
    listeners.forEach(Runnable::run);
  }
}
