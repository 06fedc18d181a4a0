package io.samphiredyke.daemon.testing;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.config.Change;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.Item;
import io.samphiredyke.daemon.Daemon;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.configuration.ConfigurationCodec;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.schema.settings.DaemonSettings;
import io.samphiredyke.schema.settings.type.NamedKey;
import io.samphiredyke.standins.engine.EngineSettings;
import io.samphiredyke.standins.engine.EngineStandIn;
import io.samphiredyke.standins.hosts.HostListStandIn;
import io.samphiredyke.standins.log.LogOptions;
import io.samphiredyke.standins.log.LogStandIn;
import io.samphiredyke.standins.plain.PlainSettings;
import io.samphiredyke.standins.plain.PlainStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * A cluster of daemons on the loopback interface, with stand-ins of the log, the host list, one
 * engine and one plain service.
 *
 * <p>The configuration of {@link TestConfiguration} is published before the daemons start. Waits
 * poll a condition and fail after a limit that is far above what the condition needs.
 */
public final class TestCluster implements AutoCloseable {

  /** The data centre of the engine and the plain service. */
  public static final String HOME = "dc1";

  /** The time after which any wait fails. */
  public static final Duration WAIT_LIMIT = Duration.ofSeconds(20);

  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final String STREAM = "samphiredyke-configuration";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final StandInRuntime runtime = StandInRuntime.system(group.next());
  private final HttpClient client =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  private final LogStandIn log;
  private final HostListStandIn hostList;
  private final EngineStandIn engine;
  private final PlainStandIn plain;
  private final Map<String, DaemonSettings> settings = new LinkedHashMap<>();
  private final Map<String, Daemon> daemons = new LinkedHashMap<>();
  private int publishedRecords;

  private TestCluster(Builder builder) {
    log = join(LogStandIn.start(runtime, ANY_PORT, LogOptions.DEFAULTS));
    hostList = join(HostListStandIn.start(runtime, ANY_PORT, List.of(), Duration.ZERO));
    engine = join(EngineStandIn.start(runtime, ANY_PORT, builder.engine));
    plain = join(PlainStandIn.start(runtime, ANY_PORT, builder.plain));
    publish(builder.items(format(engine.address()), format(plain.address())));
    builder.hosts.forEach((name, dataCentre) -> settings.put(name, settingsOf(name, dataCentre)));
    settings.replaceAll((name, value) -> builder.change.apply(withPeers(value)));
    settings.keySet().forEach(this::startHost);
    awaitMembers(settings.size());
  }

  /** Returns a builder of a cluster without hosts, with the default customers and services. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts a cluster with one host {@code host1} in {@value #HOME}. */
  public static TestCluster ofOneHost() {
    return builder().host("host1", HOME).start();
  }

  private DaemonSettings settingsOf(String name, String dataCentre) {
    return DaemonSettings.builder()
        .name(name)
        .dataCentre(dataCentre)
        .address(Ports.free())
        .peerAddress(Ports.free())
        .metricsAddress(Ports.free())
        .logAddresses(List.of(log.address()))
        .hostListAddresses(List.of(hostList.address()))
        .pollInterval(Duration.ofMillis(100))
        .peerKeys(List.of(NamedKey.parse("1:" + "0a".repeat(32))))
        .ticketKeys(List.of(NamedKey.parse("1:" + "0b".repeat(32))))
        .build();
  }

  private DaemonSettings withPeers(DaemonSettings hostSettings) {
    List<InetSocketAddress> peers =
        settings.values().stream()
            .filter(other -> !other.name().equals(hostSettings.name()))
            .map(DaemonSettings::peerAddress)
            .toList();
    return hostSettings.toBuilder().peers(peers).build();
  }

  /** Starts a stopped host with the same addresses. */
  public void startHost(String name) {
    daemons.put(name, join(Daemon.start(settings(name))));
  }

  /** Stops a host immediately, as a crash does, and starts it with changed settings. */
  public void restartHost(String name, UnaryOperator<DaemonSettings> change) {
    stopHost(name);
    settings.put(name, change.apply(settings(name)));
    startHost(name);
    awaitMembers(daemons.size());
  }

  /** Stops a host immediately, as a crash does. */
  public void stopHost(String name) {
    Daemon daemon = daemons.remove(name);
    if (daemon != null) {
      daemon.stop();
      await(
          "ports of " + name + " to be free",
          () -> !respondsOk(name, "/live") && Ports.areFree(settings(name)));
    }
  }

  /** Returns the settings of a host. */
  public DaemonSettings settings(String name) {
    DaemonSettings found = settings.get(name);
    if (found == null) {
      throw new IllegalArgumentException("unknown host " + name);
    }
    return found;
  }

  /** Returns a running host. */
  public Daemon daemon(String name) {
    Daemon found = daemons.get(name);
    if (found == null) {
      throw new IllegalArgumentException("host " + name + " is not running");
    }
    return found;
  }

  /** Returns the stand-in of the engine. */
  public EngineStandIn engine() {
    return engine;
  }

  /** Returns the stand-in of the plain service. */
  public PlainStandIn plain() {
    return plain;
  }

  /** Returns the stand-in of the log. */
  public LogStandIn log() {
    return log;
  }

  /** Returns the stand-in of the host list. */
  public HostListStandIn hostList() {
    return hostList;
  }

  /** Returns the event loops of the stand-ins and the client. */
  public EventLoopGroup group() {
    return group;
  }

  /** Returns the HTTP client that callers use. */
  public HttpClient client() {
    return client;
  }

  /** Returns the address of a host for operators. */
  public InetSocketAddress operatorAddress(String host) {
    DaemonSettings hostSettings = settings(host);
    InetSocketAddress operators = hostSettings.metricsAddress();
    return operators == null ? hostSettings.address() : operators;
  }

  /** Returns the address of a host for callers. */
  public InetSocketAddress callerAddress(String host) {
    return settings(host).address();
  }

  /** Publishes new items, which must not exist yet. */
  public void publish(List<? extends Item> items) {
    List<Change> changes = items.stream().map(item -> Change.put(item, 0)).toList();
    publishChanges(changes);
  }

  /** Publishes changes in one record, so that they apply together. */
  public void publishChanges(List<Change> changes) {
    publishedRecords++;
    ConfigurationRecord record =
        ConfigurationRecord.ofChanges(
            "test-record-" + publishedRecords, "test", System.currentTimeMillis(), changes);
    HttpRequest append =
        HttpRequest.post(
                log.address(),
                "/v1/streams/" + STREAM + "/records",
                ConfigurationCodec.encode(record))
            .build();
    HttpResponse response = join(client.send(append));
    if (response.status() != 200) {
      throw new IllegalStateException(
          "the log responded to an append with status " + response.status());
    }
  }

  /** Waits until every host has a configuration and sees a number of live members. */
  public void awaitMembers(int count) {
    for (String name : daemons.keySet()) {
      await(name + " to be ready with " + count + " members", () -> membersSeenBy(name) == count);
    }
  }

  private int membersSeenBy(String name) {
    if (!respondsOk(name, "/ready")) {
      return 0;
    }
    return join(daemon(name).liveMembers());
  }

  /** Returns the status report of a host. */
  public JsonNode status(String host) {
    return json(send(HttpRequest.get(operatorAddress(host), "/v1/status").build()));
  }

  private boolean respondsOk(String host, String path) {
    DaemonSettings hostSettings = settings(host);
    InetSocketAddress admin = hostSettings.metricsAddress();
    InetSocketAddress address = admin == null ? hostSettings.address() : admin;
    HttpRequest request = HttpRequest.get(address, path).timeout(Duration.ofSeconds(2)).build();
    return client
        .send(request)
        .handle((response, failure) -> failure == null && response.status() == 200)
        .join();
  }

  /** Requests a ticket from a host. */
  public String ticket(String host, String customer, String service) {
    HttpResponse response =
        send(
            HttpRequest.get(callerAddress(host), "/v1/addresses?service=" + service)
                .header("authorization", bearer(customer))
                .build());
    return json(response).path("ticket").asText();
  }

  /** Returns the value of the {@code Authorization} header of a customer. */
  public static String bearer(String customer) {
    return "Bearer " + TestConfiguration.keyOf(customer);
  }

  /** Sends a chat completion request to the service {@link TestConfiguration#CHAT}. */
  public CompletableFuture<HttpResponse> chat(
      String host, String customer, String body, Map<String, String> headers) {
    return chat(host, customer, TestConfiguration.CHAT, body, headers);
  }

  /** Sends a chat completion request to a service. */
  public CompletableFuture<HttpResponse> chat(
      String host, String customer, String service, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.post(
                callerAddress(host), "/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8))
            .header("authorization", bearer(customer))
            .header("samphiredyke-service", service)
            .timeout(WAIT_LIMIT);
    headers.forEach(request::header);
    return client.send(request.build());
  }

  /** Returns the body of a chat completion request. */
  public static String chatBody(String prompt, int maxTokens, boolean stream) {
    Map<String, Object> message = Map.of("role", "user", "content", prompt);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", TestConfiguration.CHAT);
    body.put("messages", List.of(message));
    body.put("max_tokens", maxTokens);
    body.put("stream", stream);
    return new String(Json.bytes(body), StandardCharsets.UTF_8);
  }

  /** Sends a request and waits for the response. */
  public HttpResponse send(HttpRequest request) {
    return join(client.send(request));
  }

  /** Parses the body of a response as JSON. */
  public static JsonNode json(HttpResponse response) {
    try {
      return Json.mapper().readTree(response.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for the result of a future. */
  public static <T> T join(CompletableFuture<T> future) {
    return future.orTimeout(WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS).join();
  }

  /** Waits until a condition holds. */
  public static void await(String description, BooleanSupplier condition) {
    long limit = System.nanoTime() + WAIT_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > limit) {
        throw new AssertionError("timed out after " + WAIT_LIMIT + " waiting for " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL.toNanos());
    }
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  @Override
  public void close() {
    daemons.values().forEach(Daemon::stop);
    log.stop();
    hostList.stop();
    engine.stop();
    plain.stop();
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Builds a {@link TestCluster}. */
  public static final class Builder {
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final List<Item> customers = new ArrayList<>();
    private Set<String> permitted = Set.of();
    private UnaryOperator<DaemonSettings> change = UnaryOperator.identity();
    private EngineSettings engine =
        EngineSettings.builder()
            .name("engine1")
            .dataCentre(HOME)
            .models(List.of(TestConfiguration.MODEL))
            .build();
    private PlainSettings plain = new PlainSettings("runner1", HOME, Duration.ofMillis(5), 8);

    private Builder() {}

    /** Adds a host. */
    public Builder host(String name, String dataCentre) {
      hosts.put(name, dataCentre);
      return this;
    }

    /** Replaces the default customers. */
    public Builder customers(List<? extends Item> items) {
      customers.addAll(items);
      return this;
    }

    /** Sets the data centres that both services permit; by default those of all hosts. */
    public Builder permitted(Set<String> dataCentres) {
      permitted = dataCentres;
      return this;
    }

    /** Changes the settings of each host. */
    public Builder settings(UnaryOperator<DaemonSettings> change) {
      this.change = change;
      return this;
    }

    /** Sets the engine's settings. */
    public Builder engine(EngineSettings engine) {
      this.engine = engine;
      return this;
    }

    /** Sets the plain service's settings. */
    public Builder plain(PlainSettings plain) {
      this.plain = plain;
      return this;
    }

    /** Starts the cluster and waits until all hosts see each other. */
    public TestCluster start() {
      return new TestCluster(this);
    }

    private List<Item> items(String engineAddress, String plainAddress) {
      Set<String> dataCentres = new LinkedHashSet<>(hosts.values());
      dataCentres.add(HOME);
      Set<String> allowed = permitted.isEmpty() ? dataCentres : permitted;
      List<Item> items = new ArrayList<>();
      items.add(TestConfiguration.tier());
      dataCentres.forEach(name -> items.add(TestConfiguration.dataCentre(name)));
      items.add(TestConfiguration.chat(allowed));
      items.add(TestConfiguration.filing(allowed));
      items.add(TestConfiguration.engine("engine1", engineAddress, HOME));
      items.add(TestConfiguration.plainEndpoint("runner1", plainAddress, HOME));
      items.addAll(customers.isEmpty() ? defaultCustomers() : customers);
      return items;
    }

    private static List<Item> defaultCustomers() {
      return List.of(
          TestConfiguration.customer(TestConfiguration.ALPHA).build(),
          TestConfiguration.customer(TestConfiguration.BETA).build());
    }
  }
}
