package io.samphiredyke.daemon;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointState;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.membership.ChangeCause;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.orders.OrderSettings;
import io.samphiredyke.core.ownership.Incarnation;
import io.samphiredyke.core.ownership.TicketCodec;
import io.samphiredyke.daemon.admin.AdminAccessPolicy;
import io.samphiredyke.daemon.admin.AdminApi;
import io.samphiredyke.daemon.admin.Metrics;
import io.samphiredyke.daemon.broker.BrokerService;
import io.samphiredyke.daemon.configuration.ConfigurationService;
import io.samphiredyke.daemon.configuration.PeerRecordExchange;
import io.samphiredyke.daemon.entry.CallerApi;
import io.samphiredyke.daemon.entry.EntryContext;
import io.samphiredyke.daemon.entry.EntryLimits;
import io.samphiredyke.daemon.entry.EntryService;
import io.samphiredyke.daemon.entry.RoutingState;
import io.samphiredyke.daemon.host.HostIdentity;
import io.samphiredyke.daemon.membership.GossipCounters;
import io.samphiredyke.daemon.membership.GossipTransport;
import io.samphiredyke.daemon.membership.HostListPoller;
import io.samphiredyke.daemon.membership.MembershipService;
import io.samphiredyke.daemon.orders.OrderService;
import io.samphiredyke.daemon.peer.MessageRouter;
import io.samphiredyke.daemon.peer.PeerClient;
import io.samphiredyke.daemon.response.MemoryBudget;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.daemon.tls.TlsContexts;
import io.samphiredyke.daemon.witness.WitnessService;
import io.samphiredyke.net.admin.ConfigurationStatus;
import io.samphiredyke.net.admin.DrainStatus;
import io.samphiredyke.net.admin.EndpointStatus;
import io.samphiredyke.net.admin.HostStatus;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.peer.PeerCounters;
import io.samphiredyke.net.peer.PeerIdentity;
import io.samphiredyke.net.peer.PeerKey;
import io.samphiredyke.net.peer.PeerKeys;
import io.samphiredyke.net.peer.PeerOptions;
import io.samphiredyke.net.peer.PeerTransport;
import io.samphiredyke.schema.settings.DaemonSettings;
import io.samphiredyke.schema.settings.loader.SettingsLoader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A running host with all its roles: it accepts requests as an entry, stores registers as a
 * witness, runs brokers and sends orders to engines.
 */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(100);

  /** The time that gossip is given to spread a drain or leave to the other hosts. */
  private static final Duration GOSSIP_PROPAGATION_DELAY = Duration.ofSeconds(3);

  private final DaemonSettings settings;
  private final EventLoopGroup controlGroup;
  private final EventLoopGroup trafficGroup;
  private final ControlEventLoop loop;
  private final HostIdentity host;
  private final Metrics metrics;
  private final TlsContexts tls;
  private final InvariantChecker invariants;
  private final HttpClient platformClient;
  private final HttpClient endpointClient;
  private final ConfigurationService configuration;
  private final HostListPoller hostList;
  private final MessageRouter router;
  private final MemoryBudget memoryBudget;
  private final GossipCounters gossipCounters = new GossipCounters();
  private final List<Runnable> shutdownActions = new ArrayList<>();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private Components components = Components.NONE;

  /** The components that exist once the peer and gossip addresses are bound. */
  private record Components(
      MembershipService membership,
      WitnessService witness,
      BrokerService brokers,
      EntryService entry,
      CallerApi callers,
      AdminApi admin,
      OrderService orders) {

    @SuppressWarnings("NullAway")
    static final Components NONE = new Components(null, null, null, null, null, null, null);
  }

  private Daemon(DaemonSettings settings, Clock clock, Metrics metrics, TlsContexts tls) {
    this.settings = settings;
    this.metrics = metrics;
    this.tls = tls;
    this.controlGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.trafficGroup =
        new MultiThreadIoEventLoopGroup(settings.trafficThreads(), NioIoHandler.newFactory());
    this.loop = new ControlEventLoop(controlGroup.next(), clock);
    this.host = hostIdentity(settings);
    this.invariants = new InvariantChecker(new InvariantViolationHandler(metrics));
    this.platformClient = new HttpClient(trafficGroup, HttpClientOptions.defaults());
    this.endpointClient = new HttpClient(trafficGroup, HttpClientOptions.defaults());
    this.configuration =
        new ConfigurationService(
            loop,
            platformClient,
            host.name(),
            settings.logAddresses(),
            settings.configurationStream(),
            new SecureRandom());
    this.hostList = new HostListPoller(loop, platformClient, settings.hostListAddresses());
    this.memoryBudget = new MemoryBudget(settings.answerMemory());
    this.router = new MessageRouter(loop, () -> metrics.count("malformed-peer-message"));
  }

  private static HostIdentity hostIdentity(DaemonSettings settings) {
    InetSocketAddress callers = orElse(settings.advertisedAddress(), settings.address());
    InetSocketAddress peers = orElse(settings.advertisedPeerAddress(), settings.peerAddress());
    return new HostIdentity(
        settings.name(),
        settings.dataCentre(),
        Incarnation.random(new SecureRandom()),
        SocketAddresses.format(callers),
        SocketAddresses.format(peers));
  }

  private static InetSocketAddress orElse(
      @org.jspecify.annotations.Nullable InetSocketAddress value, InetSocketAddress fallback) {
    return value == null ? fallback : value;
  }

  /**
   * Starts a host.
   *
   * @return the host once its addresses are bound; fails with {@link java.net.BindException} if an
   *     address is in use, or with {@link IOException} if a TLS file cannot be used
   */
  public static CompletableFuture<Daemon> start(DaemonSettings settings) {
    Metrics metrics = new Metrics();
    TlsContexts tls;
    try {
      tls = TlsContexts.load(settings, () -> metrics.count("tls-reload-failed"));
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    Daemon daemon = new Daemon(settings, Clock.systemUTC(), metrics, tls);
    return daemon
        .bind()
        .handle(
            (done, failure) -> {
              if (failure != null) {
                daemon.closeGroups();
                throw new java.util.concurrent.CompletionException(failure);
              }
              return daemon;
            });
  }

  private CompletableFuture<Void> bind() {
    List<PeerKey> keys =
        settings.peerKeys().stream().map(key -> new PeerKey(key.id(), key.bytes())).toList();
    PeerKeys peerKeys = new PeerKeys(keys);
    PeerIdentity identity =
        new PeerIdentity(
            host.name(), host.incarnation().toString(), host.peerAddress(), host.dataCentre());
    return PeerTransport.start(
            trafficGroup,
            settings.peerAddress(),
            identity,
            peerKeys,
            tls.peerOptions(PeerOptions.defaults()),
            router)
        .thenCompose(peerTransport -> bindGossip(peerTransport, identity, peerKeys))
        .thenCompose(done -> bindOperators())
        .thenCompose(done -> bindCallers());
  }

  private CompletableFuture<Void> bindGossip(
      PeerTransport peerTransport, PeerIdentity identity, PeerKeys keys) {
    shutdownActions.add(peerTransport::stop);
    return GossipTransport.start(
            trafficGroup,
            settings.peerAddress(),
            keys,
            gossipCounters,
            message -> loop.execute(() -> components.membership().onMessage(message)))
        .thenCompose(
            gossip -> loop.supply(() -> createComponents(peerTransport, identity, gossip)));
  }

  private Void createComponents(
      PeerTransport peerTransport, PeerIdentity identity, GossipTransport gossip) {
    shutdownActions.add(gossip::stop);
    SecureRandom random = new SecureRandom();
    TicketCodec tickets = new TicketCodec(TicketKeys.of(settings.ticketKeys()));
    MembershipService membership = new MembershipService(loop, localMember(), random, gossip::send);
    WitnessService witness = new WitnessService(loop, tickets, host.incarnation(), invariants);
    PeerClient peers = new PeerClient(host, identity, peerTransport, router, loop);
    BrokerService brokers =
        new BrokerService(loop, peers, configuration::configuration, this::isDraining, invariants);
    EntryContext context =
        new EntryContext(
            host,
            loop,
            trafficGroup,
            endpointClient,
            peers,
            configuration::configuration,
            membership,
            witness,
            tickets,
            this::isDraining,
            invariants,
            metrics,
            new RoutingState(random),
            settings.ticketLifetime(),
            settings.resumeWindow(),
            new EntryLimits(memoryBudget, settings.answerLimit(), settings.requestLimit()));
    EntryService entry = new EntryService(context);
    CallerApi callers = new CallerApi(context, entry, random, this::isReady);
    AdminApi admin =
        new AdminApi(
            metrics,
            this::isReady,
            () -> loop.supply(this::status),
            id -> loop.supply(() -> entry.explain(id)),
            () -> loop.supply(this::drainStatus),
            new AdminAccessPolicy(settings.adminToken(), settings.metricsAddress() != null));
    OrderService orders = createOrderService(membership, random);
    shutdownActions.add(orders::stop);
    components = new Components(membership, witness, brokers, entry, callers, admin, orders);
    startComponents(new PeerRecordExchange(loop, peers, membership, configuration));
    registerTrafficCounters(peerTransport.counters(), gossip);
    return null;
  }

  private OrderService createOrderService(MembershipService membership, SecureRandom random) {
    return new OrderService(
        loop,
        platformClient,
        host.name() + "-" + host.incarnation(),
        settings.logAddresses(),
        configuration::configuration,
        endpoint -> !isDraining(endpoint) && isLocalBroker(membership, endpoint),
        OrderSettings.builder().build(),
        invariants,
        metrics::count,
        random);
  }

  private boolean isLocalBroker(MembershipService membership, Endpoint endpoint) {
    return membership
        .broker(endpoint)
        .filter(broker -> broker.address().equals(host.peerAddress()))
        .isPresent();
  }

  private void registerTrafficCounters(PeerCounters peerCounters, GossipTransport gossip) {
    String sent = "Payload bytes sent to other hosts as ";
    String received = "Payload bytes received from other hosts as ";
    metrics.registerCounter(
        "samphiredyke_gossip_sent_bytes_total", sent + "datagrams.", gossip::bytesSent);
    metrics.registerCounter(
        "samphiredyke_gossip_received_bytes_total",
        received + "datagrams.",
        gossipCounters::bytesReceived);
    metrics.registerCounter(
        "samphiredyke_links_sent_bytes_total", sent + "streams.", peerCounters::bytesSent);
    metrics.registerCounter(
        "samphiredyke_links_received_bytes_total",
        received + "streams.",
        peerCounters::bytesReceived);
  }

  private Member localMember() {
    return Member.builder()
        .name(host.name())
        .address(host.peerAddress())
        .callerAddress(host.callerAddress())
        .incarnation(IncarnationId.parse(host.incarnation().toString()))
        .dataCentre(host.dataCentre())
        .state(MemberState.ALIVE)
        .generation(loop.epochMillis() / 1000)
        .build();
  }

  private void startComponents(PeerRecordExchange records) {
    components.brokers().register(router);
    components.entry().register(router);
    records.register(router);
    configuration.peers(records);
    configuration.onChange(this::configurationChanged);
    hostList.onChange(this::hostListChanged);
    components.membership().onChange(this::memberChanged);
    components.membership().start();
    components.membership().replaceSeeds(seeds());
    components.witness().start();
    components.entry().start();
    components.orders().start();
    configuration.start();
    hostList.start(settings.pollInterval());
  }

  private List<String> seeds() {
    List<String> seeds = new ArrayList<>(hostList.entryAddresses());
    settings.peers().forEach(peer -> seeds.add(SocketAddresses.format(peer)));
    return seeds;
  }

  private void configurationChanged() {
    components.membership().configurationOffset(configuration.configuration().offset());
    components.brokers().refresh();
  }

  private void hostListChanged() {
    components.membership().replaceSeeds(seeds());
    components.brokers().refresh();
  }

  private void memberChanged(MemberChange change) {
    boolean isGone =
        change.current() == MemberState.DEAD || change.cause() == ChangeCause.SUPERSEDED;
    if (isGone) {
      components.brokers().requesterLost(change.member().incarnation().toString());
    }
  }

  private boolean isDraining(Endpoint endpoint) {
    return endpoint.state() == EndpointState.LEAVING || hostList.isDraining(endpoint.address());
  }

  private boolean isReady() {
    return configuration.isReady();
  }

  private CompletableFuture<Void> bindCallers() {
    HttpServerOptions options =
        HttpServerOptions.defaults()
            .withMaxBodyBytes((int) settings.bodyLimit())
            .withIdleTimeout(settings.callerIdleTimeout());
    tls.start(new ControlEventLoop(trafficGroup.next(), Clock.systemUTC()));
    return HttpServer.start(
            trafficGroup, settings.address(), tls.callerOptions(options), this::handleCaller)
        .thenAccept(
            server -> {
              shutdownActions.add(server::stop);
              logger.atInfo().log(
                  "host started: host=%s dataCentre=%s incarnation=%s callers=%s peers=%s",
                  host.name(),
                  host.dataCentre(),
                  host.incarnation(),
                  host.callerAddress(),
                  host.peerAddress());
            });
  }

  private CompletableFuture<Void> bindOperators() {
    InetSocketAddress address = settings.metricsAddress();
    if (address == null) {
      return CompletableFuture.completedFuture(null);
    }
    return HttpServer.start(
            trafficGroup, address, HttpServerOptions.defaults(), this::handleOperator)
        .thenAccept(server -> shutdownActions.add(server::stop));
  }

  private void handleOperator(HttpExchange exchange) {
    if (!components.admin().handle(exchange, AdminAccessPolicy.ListenerKind.OPERATORS)) {
      sendNotFound(exchange);
    }
  }

  private void handleCaller(HttpExchange exchange) {
    if (!components.admin().handle(exchange, AdminAccessPolicy.ListenerKind.CALLERS)
        && !components.callers().handle(exchange)) {
      sendNotFound(exchange);
    }
  }

  private static void sendNotFound(HttpExchange exchange) {
    Problem.notExecuted(404, "no such page", exchange.method() + " " + exchange.path())
        .send(exchange);
  }

  private HostStatus status() {
    return new HostStatus(
        host.name(),
        host.dataCentre(),
        host.callerAddress(),
        SettingsLoader.version(),
        components.entry().isDraining(),
        configurationStatus(),
        components.brokers().status().stream().map(Daemon::toEndpointStatus).toList(),
        components.entry().tiers());
  }

  private ConfigurationStatus configurationStatus() {
    return new ConfigurationStatus(
        host.name(),
        configuration.configuration().offset(),
        configuration.configuration().digest(),
        configuration.readiness(),
        configuration.isBehind(),
        configuration.consecutiveFailures());
  }

  private static EndpointStatus toEndpointStatus(BrokerStatus status) {
    EndpointState state = status.draining() ? EndpointState.LEAVING : EndpointState.ACTIVE;
    int queued = status.queuedByTier().stream().mapToInt(Integer::intValue).sum();
    return new EndpointStatus(
        status.endpoint(), state.name(), status.inFlight(), status.limit(), queued);
  }

  private DrainStatus drainStatus() {
    startDrain();
    return new DrainStatus(host.name(), (int) components.entry().activeRequests());
  }

  /**
   * Shuts down gracefully: refuses new requests, waits for those in flight up to the drain timeout,
   * leaves the cluster and stops.
   *
   * @return a future that completes when the host has stopped
   */
  public CompletableFuture<Void> drain() {
    loop.execute(this::startDrain);
    return stopped;
  }

  private void startDrain() {
    if (components.entry().isDraining()) {
      return;
    }
    logger.atInfo().log("drain started: host=%s", host.name());
    components.entry().drain();
    components.orders().drain();
    components.membership().drain();
    long deadline = loop.nanoTime() + settings.drainTimeout().toNanos();
    loop.schedule(() -> awaitIdle(deadline), GOSSIP_PROPAGATION_DELAY);
  }

  private void awaitIdle(long deadline) {
    long active = components.entry().activeRequests();
    if (active > 0 && loop.nanoTime() < deadline) {
      loop.schedule(() -> awaitIdle(deadline), DRAIN_POLL_INTERVAL);
      return;
    }
    components.entry().refuseUndispatched();
    logger.atInfo().log("leaving the cluster: host=%s unfinished=%d", host.name(), active);
    components.membership().leave();
    loop.schedule(this::stop, GOSSIP_PROPAGATION_DELAY);
  }

  /** Stops immediately, without waiting for requests in flight. */
  public void stop() {
    shutdownActions.forEach(Runnable::run);
    platformClient.close();
    endpointClient.close();
    closeGroups();
    stopped.complete(null);
  }

  private void closeGroups() {
    controlGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    trafficGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns a future that completes when the host has stopped. */
  public CompletableFuture<Void> stopped() {
    return stopped;
  }

  /** Returns the number of hosts that this host considers alive, itself included. */
  public CompletableFuture<Integer> liveMembers() {
    return loop.supply(() -> components.membership().liveMembers().size());
  }

  /** Returns the number of requests that this host is processing. */
  public CompletableFuture<Long> activeRequests() {
    return loop.supply(() -> components.entry().activeRequests());
  }

  /** Returns the bytes of request bodies and responses that this host has in memory. */
  public long heldBytes() {
    return memoryBudget.usedBytes();
  }

  /** Returns the number of violations of each invariant that was checked, by name. */
  public java.util.Map<String, Long> invariantViolations() {
    return invariants.violations();
  }
}
