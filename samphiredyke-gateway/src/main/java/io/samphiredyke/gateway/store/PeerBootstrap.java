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
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreRecord;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The second source of a process that starts while the store is away: what another host believes.
 *
 * <p>Versions of the configuration only grow, so an old one from a peer never replaces a newer one.
 */
public final class PeerBootstrap {

  /** Path of the page, on the metrics address of a host. */
  public static final String PATH = "/v1/belief";

  /** Time that the store has to answer before peers are asked; it takes a few milliseconds. */
  private static final Duration FIRST_TRY = Duration.ofMillis(250);

  private static final Duration NEXT_TRY = Duration.ofMillis(300);
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int OK = 200;

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final String self;
  private final HttpClient http;
  private final ConfigurationReceiver configuration;
  private final EndpointReceiver endpoints;
  private final DecisionLog log;
  private final RandomGenerator random;

  /** Creates the source. */
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
    this.self = self;
    this.http = http;
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.log = log;
    this.random = random;
  }

  /** Starts to watch whether the store answers. */
  public void start() {
    loop.schedule(this::check, FIRST_TRY);
  }

  private boolean isInformed() {
    return configuration.newest().length > 0 && endpoints.isListed();
  }

  private void check() {
    if (isInformed()) {
      return;
    }
    List<Member> others = new ArrayList<>(peers.liveMembers());
    others.removeIf(member -> member.address().equals(self) || member.draining());
    if (!others.isEmpty()) {
      ask(others.get(random.nextInt(others.size())));
    }
    loop.schedule(this::check, NEXT_TRY);
  }

  private void ask(Member member) {
    ask(member, belief -> heard(member, belief));
  }

  /** Takes the configuration of a host that has a newer one. */
  public void askForConfiguration(Member member) {
    ask(member, this::takeConfiguration);
  }

  private void ask(Member member, Consumer<JsonNode> onBelief) {
    InetSocketAddress peer = SocketAddresses.parse(member.address());
    InetSocketAddress page =
        new InetSocketAddress(peer.getAddress(), peer.getPort() + HostSettings.METRICS_PORT_OFFSET);
    loop.whenDone(
        http.send(HttpRequest.get(page, PATH).timeout(TIMEOUT).build()),
        response -> read(member, response, onBelief),
        failure -> failed(member, failure));
  }

  private void failed(Member member, Throwable failure) {
    log.event("peer_belief_failed", "host", member.name(), "reason", failure.toString());
  }

  private void read(Member member, HttpResponse response, Consumer<JsonNode> onBelief) {
    if (response.status() != OK) {
      return;
    }
    try {
      onBelief.accept(Json.read(response.body(), JsonNode.class));
    } catch (IOException | IllegalArgumentException e) {
      failed(member, e);
    }
  }

  private void takeConfiguration(JsonNode belief) {
    byte[] value = Base64.getDecoder().decode(belief.path("configuration").asText(""));
    if (value.length > 0) {
      StoreRecord record = new StoreRecord(-1, StoreClient.CONFIGURATION_KEY, value);
      configuration.read(List.of(record), -1);
    }
  }

  private void heard(Member member, JsonNode belief) {
    if (!isInformed()) {
      takeConfiguration(belief);
      Map<String, byte[]> entries = new HashMap<>();
      belief
          .path("endpoints")
          .fields()
          .forEachRemaining(
              field ->
                  entries.put(
                      field.getKey(), Base64.getDecoder().decode(field.getValue().asText())));
      log.event("peer_belief", "host", member.name(), "endpoints", entries.size());
      if (!entries.isEmpty()) {
        endpoints.heard(entries);
      }
    }
  }

  /** Returns the page for other hosts. */
  public byte[] page() {
    return Json.bytes(
        Map.of("configuration", configuration.newest(), "endpoints", endpoints.entries()));
  }
}
