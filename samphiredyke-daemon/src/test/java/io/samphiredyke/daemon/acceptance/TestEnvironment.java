package io.samphiredyke.daemon.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.core.config.ItemKey;
import io.samphiredyke.core.ownership.Ticket;
import io.samphiredyke.core.ownership.TicketCodec;
import io.samphiredyke.core.ownership.TicketException;
import io.samphiredyke.core.ownership.TicketKey;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.daemon.testing.TestConfiguration;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.schema.settings.DaemonSettings;
import io.samphiredyke.standins.engine.EngineOptions;
import io.samphiredyke.standins.engine.EngineSettings;
import io.samphiredyke.standins.plain.PlainSettings;
import io.samphiredyke.standins.plain.PlainStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What the steps of one scenario share: the cluster, its configuration and relays. */
final class TestEnvironment implements AutoCloseable {

  /** Time that a call to the plain service takes. */
  static final Duration CALL_TIME = Duration.ofMillis(1500);

  /** Tokens that the engine decodes in a second. */
  static final int TOKENS_PER_SECOND = 40;

  private static final int KEY_BYTES = 32;
  private static final byte KEY_BYTE = 0x0b;

  private final TestCluster cluster;
  private final Map<String, String> dataCentres = new TreeMap<>();
  private final Map<ItemKey, Long> versions = new HashMap<>();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private final Set<String> stopped = new HashSet<>();
  private final TicketCodec tickets;
  private final List<NetworkProxy> callerLinks = new ArrayList<>();
  private final List<NetworkProxy> peerLinks = new ArrayList<>();
  private final List<PlainStandIn> runners = new ArrayList<>();
  private long records = 1;

  TestEnvironment(Map<String, String> dataCentreByHost, Set<String> permitted, boolean hasLinks) {
    dataCentres.putAll(dataCentreByHost);
    TestCluster.Builder builder =
        TestCluster.builder()
            .permitted(permitted)
            .engine(engineSettings())
            .plain(new PlainSettings("runner1", TestCluster.HOME, CALL_TIME, 16));
    dataCentres.forEach(builder::host);
    if (hasLinks) {
      builder.settings(this::withLinks);
    }
    cluster = builder.start();
    byte[] secret = new byte[KEY_BYTES];
    java.util.Arrays.fill(secret, KEY_BYTE);
    tickets = new TicketCodec(List.of(new TicketKey(1, secret)));
  }

  /** Puts relays before a host's addresses. */
  private DaemonSettings withLinks(DaemonSettings settings) {
    NetworkProxy callers = closeAtEnd(NetworkProxy.to(settings.address()));
    NetworkProxy peers = closeAtEnd(NetworkProxy.withDatagrams(settings.peerAddress()));
    callerLinks.add(callers);
    peerLinks.add(peers);
    return settings.toBuilder()
        .advertisedAddress(callers.address())
        .advertisedPeerAddress(peers.address())
        .build();
  }

  List<NetworkProxy> callerLinks() {
    return callerLinks;
  }

  List<NetworkProxy> peerLinks() {
    return peerLinks;
  }

  /** Returns the addresses that callers are told. */
  List<String> advertised() {
    if (!callerLinks.isEmpty()) {
      return callerLinks.stream().map(link -> format(link.address())).toList();
    }
    return hosts().stream().map(host -> format(cluster.callerAddress(host))).toList();
  }

  void startHost(String host) {
    cluster.startHost(host);
    stopped.remove(host);
  }

  /** Starts a host that has been drained. */
  void restart(String host) {
    cluster.stopHost(host);
    cluster.startHost(host);
    cluster.awaitMembers(hosts().size());
  }

  PlainStandIn startRunner(String name) {
    StandInRuntime runtime = StandInRuntime.system(cluster.group().next());
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    PlainSettings settings = new PlainSettings(name, TestCluster.HOME, CALL_TIME, 16);
    PlainStandIn runner = TestCluster.join(PlainStandIn.start(runtime, anyPort, settings));
    runners.add(runner);
    closeAtEnd(runner::stop);
    return runner;
  }

  static EngineSettings engineSettings() {
    return EngineSettings.builder()
        .name("engine1")
        .dataCentre(TestCluster.HOME)
        .models(List.of(TestConfiguration.MODEL))
        .options(EngineOptions.builder().decodeRate(TOKENS_PER_SECOND).build())
        .build();
  }

  TestCluster cluster() {
    return cluster;
  }

  Set<String> hosts() {
    return dataCentres.keySet();
  }

  void stopHost(String host) {
    cluster.stopHost(host);
    stopped.add(host);
  }

  boolean isStopped(String host) {
    return stopped.contains(host);
  }

  /** Returns the hosts of a ticket's chain in order. */
  List<String> chain(String ticket) {
    Ticket decoded = decode(ticket);
    return decoded.chain().stream().map(member -> hostAt(member.address())).toList();
  }

  private Ticket decode(String ticket) {
    try {
      return tickets.decodeIgnoringExpiry(ticket);
    } catch (TicketException e) {
      throw new IllegalStateException(e);
    }
  }

  private String hostAt(String peerAddress) {
    return hosts().stream()
        .filter(host -> peerAddress.endsWith(":" + cluster.settings(host).peerAddress().getPort()))
        .findFirst()
        .orElseThrow();
  }

  /** Publishes an item that replaces the one of its name, and returns the record's offset. */
  long publish(Item item) {
    ItemKey key = new ItemKey(item.itemKind(), item.name());
    long base = versions.getOrDefault(key, 0L);
    cluster.publishChanges(List.of(Change.put(item, base)));
    long offset = records++;
    versions.put(key, offset + 1);
    return offset;
  }

  /** Says that an item came with the first record. */
  void isInFirstRecord(Item item) {
    versions.put(new ItemKey(item.itemKind(), item.name()), 1L);
  }

  /** Waits until a record is in force on all running hosts. */
  void awaitInForce(long offset, Iterable<String> running) {
    for (String host : running) {
      TestCluster.await(
          "offset " + offset + " in force on " + host, () -> offsetOn(host) >= offset);
    }
  }

  long offsetOn(String host) {
    return cluster.status(host).path("configuration").path("offset").asLong(-1);
  }

  /** Moves the plain service's configured address to another one. */
  void moveRunner(InetSocketAddress address) {
    Endpoint runner = runner("runner1", address).build();
    isInFirstRecord(runner);
    awaitInForce(publish(runner), hosts());
  }

  Endpoint.Builder runner(String name, InetSocketAddress address) {
    return Endpoint.builder()
        .name(name)
        .kind(EndpointKind.PLAIN_SERVICE)
        .address(format(address))
        .dataCentre(TestCluster.HOME)
        .services(Set.of(TestConfiguration.FILING));
  }

  /** Keeps something to be closed at the end of the scenario. */
  <T extends AutoCloseable> T closeAtEnd(T resource) {
    opened.add(resource);
    return resource;
  }

  /** Returns how many times the engine executed a request. */
  long executions(String id) {
    JsonNode counts = counts(cluster.engine().address());
    return counts.path("requests").path(id).path("executions").asLong();
  }

  /** Returns how many effects a request had at the plain service. */
  long effects(String id) {
    long effects = counts(cluster.plain().address()).path("requests").path(id).asLong();
    for (PlainStandIn runner : runners) {
      effects += counts(runner.address()).path("requests").path(id).asLong();
    }
    return effects;
  }

  JsonNode counts(InetSocketAddress address) {
    return TestCluster.json(cluster.send(HttpRequest.get(address, "/control/counts").build()));
  }

  static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable resource : opened) {
      resource.close();
    }
    cluster.close();
  }
}
