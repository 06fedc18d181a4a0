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

/** The environment of one scenario: a cluster, its configuration and network proxies. */
final class TestEnvironment implements AutoCloseable {

  /** The duration of a call to the plain service. */
  static final Duration CALL_TIME = Duration.ofMillis(1500);

  /** The decode rate of the engine in tokens per second. */
  static final int TOKENS_PER_SECOND = 40;

  private static final int KEY_BYTES = 32;

  /** The value of every byte of the ticket key that {@link TestCluster} configures. */
  private static final byte KEY_BYTE = 0x0b;

  private final TestCluster cluster;
  private final Map<String, String> dataCentres = new TreeMap<>();
  private final Map<ItemKey, Long> versions = new HashMap<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final Set<String> stopped = new HashSet<>();
  private final TicketCodec tickets;
  private final List<NetworkProxy> callerProxies = new ArrayList<>();
  private final List<NetworkProxy> peerProxies = new ArrayList<>();
  private final List<PlainStandIn> extraPlainEndpoints = new ArrayList<>();
  private long nextOffset = 1;

  TestEnvironment(Map<String, String> dataCentreByHost, Set<String> permitted, boolean hasProxies) {
    dataCentres.putAll(dataCentreByHost);
    TestCluster.Builder builder =
        TestCluster.builder()
            .permitted(permitted)
            .engine(engineSettings())
            .plain(new PlainSettings("runner1", TestCluster.HOME, CALL_TIME, 16));
    dataCentres.forEach(builder::host);
    if (hasProxies) {
      builder.settings(this::withProxies);
    }
    cluster = builder.start();
    byte[] secret = new byte[KEY_BYTES];
    java.util.Arrays.fill(secret, KEY_BYTE);
    tickets = new TicketCodec(List.of(new TicketKey(1, secret)));
  }

  /** Advertises proxies instead of the addresses of a host. */
  private DaemonSettings withProxies(DaemonSettings settings) {
    NetworkProxy callers = closeAtEnd(NetworkProxy.to(settings.address()));
    NetworkProxy peers = closeAtEnd(NetworkProxy.withDatagrams(settings.peerAddress()));
    callerProxies.add(callers);
    peerProxies.add(peers);
    return settings.toBuilder()
        .advertisedAddress(callers.address())
        .advertisedPeerAddress(peers.address())
        .build();
  }

  List<NetworkProxy> callerProxies() {
    return callerProxies;
  }

  List<NetworkProxy> peerProxies() {
    return peerProxies;
  }

  /** Returns the caller-facing addresses that the hosts advertise. */
  List<String> advertisedAddresses() {
    if (!callerProxies.isEmpty()) {
      return callerProxies.stream().map(proxy -> format(proxy.address())).toList();
    }
    return hosts().stream().map(host -> format(cluster.callerAddress(host))).toList();
  }

  void startHost(String host) {
    cluster.startHost(host);
    stopped.remove(host);
  }

  /** Restarts a drained host and waits until all hosts see it. */
  void restart(String host) {
    cluster.stopHost(host);
    cluster.startHost(host);
    cluster.awaitMembers(hosts().size());
  }

  PlainStandIn startPlainEndpoint(String name) {
    StandInRuntime runtime = StandInRuntime.system(cluster.group().next());
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    PlainSettings settings = new PlainSettings(name, TestCluster.HOME, CALL_TIME, 16);
    PlainStandIn endpoint = TestCluster.join(PlainStandIn.start(runtime, anyPort, settings));
    extraPlainEndpoints.add(endpoint);
    closeAtEnd(endpoint::stop);
    return endpoint;
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
    long offset = nextOffset++;
    versions.put(key, offset + 1);
    return offset;
  }

  /** Sets the version of an item that was published with the first record. */
  void setInitialVersion(Item item) {
    versions.put(new ItemKey(item.itemKind(), item.name()), 1L);
  }

  /** Waits until a record is active on hosts. */
  void awaitActive(long offset, Iterable<String> running) {
    for (String host : running) {
      TestCluster.await(
          "offset " + offset + " to be active on " + host, () -> offsetOn(host) >= offset);
    }
  }

  long offsetOn(String host) {
    return cluster.status(host).path("configuration").path("offset").asLong(-1);
  }

  /** Changes the configured address of the plain service. */
  void movePlainEndpoint(InetSocketAddress address) {
    Endpoint endpoint = plainEndpoint("runner1", address).build();
    setInitialVersion(endpoint);
    awaitActive(publish(endpoint), hosts());
  }

  Endpoint.Builder plainEndpoint(String name, InetSocketAddress address) {
    return Endpoint.builder()
        .name(name)
        .kind(EndpointKind.PLAIN_SERVICE)
        .address(format(address))
        .dataCentre(TestCluster.HOME)
        .services(Set.of(TestConfiguration.FILING));
  }

  /** Registers a resource to be closed at the end of the scenario. */
  <T extends AutoCloseable> T closeAtEnd(T resource) {
    closeables.add(resource);
    return resource;
  }

  /** Returns the number of times that the engine executed a request. */
  long executions(String id) {
    JsonNode counts = counts(cluster.engine().address());
    return counts.path("requests").path(id).path("executions").asLong();
  }

  /** Returns the number of effects of a request at all endpoints of the plain service. */
  long effects(String id) {
    long effects = counts(cluster.plain().address()).path("requests").path(id).asLong();
    for (PlainStandIn endpoint : extraPlainEndpoints) {
      effects += counts(endpoint.address()).path("requests").path(id).asLong();
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
    for (AutoCloseable resource : closeables) {
      resource.close();
    }
    cluster.close();
  }
}
