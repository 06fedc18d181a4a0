package io.samphiredyke.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.upstream.AddressResolver;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.platform.HostSettings;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Base class of tests that run gateways against stand-ins of the platform, over loopback. */
abstract class GatewayHarness {

  /** More than the slots of one endpoint. */
  private static final int CONCURRENT_REQUESTS = 8;

  /** Next port to try, below the ephemeral port range and different for each test process. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(12_000 + (int) (ProcessHandle.current().pid() % 1_500) * 8);

  /** Seeds the hosts differently, as the group tells them apart by an id that they draw. */
  private final SplittableRandom random = new SplittableRandom(3);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final StoreStandIn store = new StoreStandIn();
  final List<EndpointStandIn> plainEndpoints = new ArrayList<>();
  final List<EndpointStandIn> modelEndpoints = new ArrayList<>();
  @RegisterExtension final HostLog hostLog = new HostLog();
  final ByteArrayOutputStream logOutput = hostLog.output;
  final HttpClient client = HttpClient.newHttpClient();
  int requestCount;
  int graceMillis = 8_000;

  @BeforeEach
  void startPlatform() {
    store.start(group);
    for (int i = 1; i <= 2; i++) {
      plainEndpoints.add(new EndpointStandIn("p-" + i, "plain", false).start(group));
      modelEndpoints.add(new EndpointStandIn("m-" + i, "model", true).start(group));
    }
    register("ready", plainEndpoints);
    register("ready", modelEndpoints);
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  void register(String state, List<EndpointStandIn> endpoints) {
    for (EndpointStandIn endpoint : endpoints) {
      store.put(StoreClient.ENDPOINT_TOPIC, endpoint.id(), endpoint.entry(state));
    }
  }

  void configure(int version) {
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        PlatformFixtures.configuration(version, List.of(), List.of(PlatformFixtures.KEY)));
  }

  /** Returns the event loops of the stand-ins and the gateways. */
  EventLoopGroup eventLoops() {
    return group;
  }

  /** Returns the address at which gateways reach the store. */
  String storeAddress() {
    return store.address();
  }

  /** Returns the first of several consecutive free ports, different ones on each call. */
  static int freePorts(int count) {
    while (true) {
      int first = NEXT_PORT.getAndAdd(count);
      if (areFree(first, count)) {
        return first;
      }
    }
  }

  private static boolean areFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      try (ServerSocket tcp = new ServerSocket();
          DatagramSocket udp = new DatagramSocket(null)) {
        tcp.bind(new InetSocketAddress("127.0.0.1", port));
        udp.bind(new InetSocketAddress("127.0.0.1", port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /** A running gateway with its caller and peer addresses. */
  record RunningGateway(Gateway gateway, String address, String peerAddress) {}

  RunningGateway startGateway(String name, List<String> seeds) {
    return startGateway(name, seeds, SocketAddresses::parse);
  }

  /** Starts a gateway that connects to endpoints at resolved addresses. */
  RunningGateway startGateway(String name, List<String> seeds, AddressResolver endpoints) {
    int port = freePorts(5);
    String address = "127.0.0.1:" + port;
    String peer = "127.0.0.1:" + (port + 1);
    HostSettings settings =
        new HostSettings(
            name,
            "a",
            address,
            "127.0.0.1:" + (port + 3),
            "127.0.0.1:" + (port + 4),
            peer,
            "127.0.0.1:" + (port + 2),
            seeds,
            storeAddress(),
            1_200,
            graceMillis,
            2_000,
            0.2,
            50,
            0.1,
            1_000,
            8_000,
            0.1,
            5,
            1,
            1_000,
            4_096);
    DecisionLog log = new DecisionLog(hostLog.of(name), System::currentTimeMillis);
    Gateway gateway = new Gateway(settings, group, random.split(), log, endpoints);
    gateway.start().join();
    return new RunningGateway(gateway, address, peer);
  }

  RunningGateway startConfiguredGateway() {
    configure(1);
    RunningGateway running = startGateway("host-1", List.of());
    await(running.gateway()::isReady);
    return running;
  }

  static void await(BooleanSupplier condition) {
    for (int i = 0; i < 3_000 && !condition.getAsBoolean(); i++) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  HttpRequest.Builder request(RunningGateway to, String path) {
    requestCount++;
    return HttpRequest.newBuilder(URI.create("http://" + to.address() + path))
        .header("Authorization", "Bearer key")
        .header("X-Samphiredyke-Request-Id", "r-" + requestCount)
        .header("X-Samphiredyke-Deadline-Ms", "15000")
        .timeout(Duration.ofSeconds(40));
  }

  HttpResponse<String> get(RunningGateway to, String path) {
    return send(request(to, path).build());
  }

  HttpResponse<String> post(RunningGateway to, String path, String body) {
    return send(request(to, path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  HttpResponse<String> send(HttpRequest request) {
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
  }

  /** Sends concurrent requests, so that all endpoints of the service get some. */
  List<HttpResponse<String>> postConcurrently(RunningGateway to, String path) {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
      HttpRequest request =
          request(to, path).POST(HttpRequest.BodyPublishers.ofString("x")).build();
      responses.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
    }
    return responses.stream().map(CompletableFuture::join).toList();
  }

  /** Sends requests until an endpoint has received one. */
  void reach(RunningGateway running, String path, EndpointStandIn endpoint) {
    int before = endpoint.arrivals().size();
    await(
        () -> {
          postConcurrently(running, path);
          return endpoint.arrivals().size() > before;
        });
  }

  static int runs(List<EndpointStandIn> endpoints) {
    return endpoints.stream().mapToInt(endpoint -> endpoint.runs().size()).sum();
  }

  boolean logged(String text) {
    return logOutput.toString(StandardCharsets.UTF_8).contains(text);
  }
}
