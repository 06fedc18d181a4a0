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
 * Reads the host list again and again.
 *
 * <p>The list lags and may be out of reach; the last list that was read stays in force. Runs on the
 * control loop.
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
  private Set<String> leaving = Set.of();
  private boolean isReachable;

  /** Creates a poller that has read nothing. */
  public HostListPoller(ControlEventLoop loop, HttpClient http, List<InetSocketAddress> addresses) {
    this.loop = loop;
    this.http = http;
    this.addresses = List.copyOf(addresses);
  }

  /** Adds an action that runs after each change of the list. */
  public void onChange(Runnable action) {
    listeners.add(action);
  }

  /** Starts to read the list at an interval. */
  public void start(Duration interval) {
    loop.scheduleWithFixedDelay(this::poll, interval);
    loop.execute(this::poll);
  }

  /** Returns the peer addresses of the entry hosts on the list. */
  public List<String> entryAddresses() {
    return entryAddresses;
  }

  /** Returns whether an address is on the list as leaving. */
  public boolean isLeaving(String address) {
    return leaving.contains(address);
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
    loop.whenDone(http.send(request), this::onList, failure -> fail());
  }

  private void onList(HttpResponse response) {
    try {
      if (response.status() == OK) {
        read(response.json(JsonNode.class));
        return;
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("the host list cannot be read");
    }
    fail();
  }

  private void fail() {
    nextAddress++;
    isReachable = false;
  }

  private void read(JsonNode list) {
    isReachable = true;
    List<String> entries = new ArrayList<>();
    Set<String> nowLeaving = new HashSet<>();
    for (JsonNode host : list.path("hosts")) {
      String address = host.path("address").asText();
      boolean isLive = host.path("state").asText().equals("live");
      if (!isLive) {
        nowLeaving.add(address);
      } else if (host.path("kind").asText().equals("entry")) {
        entries.add(address);
      }
    }
    if (entries.equals(entryAddresses) && nowLeaving.equals(leaving)) {
      return;
    }
    entryAddresses = List.copyOf(entries);
    leaving = Set.copyOf(nowLeaving);
    logger.atInfo().log("host list entries=%d leaving=%d", entries.size(), leaving.size());
    listeners.forEach(Runnable::run);
  }
}
