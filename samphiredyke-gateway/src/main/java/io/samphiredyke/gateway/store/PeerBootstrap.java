package io.samphiredyke.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.platform.HostSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Loads the configuration and the endpoints from another host if the store is unavailable at
 * startup.
 *
 * <p>Configuration versions only increase, so an older configuration of a peer never replaces a
 * newer one.
 */
public final class PeerBootstrap {

  /** Path at which hosts serve their state, on their metrics address. */
  public static final String PATH = "/v1/belief";

  /**
   * Time for the store to respond before peers are queried; it usually takes a few milliseconds.
   */
  private static final Duration INITIAL_DELAY = Duration.ofMillis(250);

  /** How often the known hosts are looked through; a stopping host may be known briefly only. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int OK = 200;

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final PeerStateSelector selector;
  private final HttpClient http;
  private final ConfigurationReceiver configuration;
  private final EndpointReceiver endpoints;
  private final DecisionLog log;

  /** Creates a bootstrap that has not started. */
  public PeerBootstrap(
      ControlEventLoop loop,
      PeerGroup peers,
      String self,
      HttpClient http,
      ConfigurationReceiver configuration,
      EndpointReceiver endpoints,
      DecisionLog log,
      RandomGenerator random) {
    this.loop = loop;
    this.peers = peers;
    this.selector = new PeerStateSelector(self, random);
    this.http = http;
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.log = log;
  }

  /** Starts to check whether the store has provided the configuration and the endpoints. */
  public void start() {
    loop.repeatWhile(this::check, INITIAL_DELAY, CHECK_INTERVAL);
  }

  private boolean isComplete() {
    return configuration.newestBytes().length > 0 && endpoints.isLoaded();
  }

  /** Returns whether state is still missing. */
  private boolean check() {
    if (isComplete()) {
      return false;
    }
    Member source = selector.select(peers.liveMembers(), loop.nanoTime());
    if (source != null) {
      fetch(source);
    }
    return true;
  }

  private void fetch(Member member) {
    fetch(member, state -> applyState(member, state));
  }

  /** Fetches and applies the configuration of a host that has a newer one. */
  public void fetchConfiguration(Member member) {
    fetch(member, this::applyConfiguration);
  }

  private void fetch(Member member, Consumer<JsonNode> onState) {
    InetSocketAddress peer = SocketAddresses.parse(member.address());
    InetSocketAddress metricsAddress =
        new InetSocketAddress(peer.getAddress(), peer.getPort() + HostSettings.METRICS_PORT_OFFSET);
    // Fetching is rare, and an idle connection to the host may be dead.
    loop.whenDone(
        http.send(
            HttpRequest.get(metricsAddress, PATH)
                .timeout(TIMEOUT)
                .newConnection(true)
                .requireFraming()
                .build()),
        response -> onResponse(member, response, onState),
        failure -> onFailure(member, failure));
  }

  private void onFailure(Member member, Throwable failure) {
    log.event("peer_belief_failed", "host", member.name(), "reason", failure.toString());
  }

  private void onResponse(Member member, HttpResponse response, Consumer<JsonNode> onState) {
    if (response.status() != OK) {
      return;
    }
    try {
      onState.accept(Json.read(response.body(), JsonNode.class));
    } catch (IOException | IllegalArgumentException e) {
      onFailure(member, e);
    }
  }

  private void applyConfiguration(JsonNode state) {
    byte[] value = Base64.getDecoder().decode(state.path("configuration").asText(""));
    if (value.length > 0) {
      configuration.applyFromPeer(value);
    }
  }

  private void applyState(Member member, JsonNode state) {
    if (!isComplete()) {
      applyConfiguration(state);
      Map<String, byte[]> entries = new HashMap<>();
      state
          .path("endpoints")
          .fields()
          .forEachRemaining(
              field ->
                  entries.put(
                      field.getKey(), Base64.getDecoder().decode(field.getValue().asText())));
      log.event("peer_belief", "host", member.name(), "endpoints", entries.size());
      if (!entries.isEmpty()) {
        endpoints.loadFromPeer(entries);
      }
    }
  }

  /**
   * Returns whether this host must not stop yet, because another host still lacks its configuration
   * and no host that goes on has it.
   *
   * @param version configuration version of this host, negative for none
   */
  public boolean isNeeded(long version) {
    return selector.isNeeded(version, peers.liveMembers());
  }

  /** Returns the state of this host in the form that other hosts load. */
  public byte[] page() {
    return Json.bytes(
        Map.of("configuration", configuration.newestBytes(), "endpoints", endpoints.entries()));
  }
}
