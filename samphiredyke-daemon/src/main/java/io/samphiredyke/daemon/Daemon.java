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

/** One process of the system with all its roles: entry, witness, broker and control. */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DRAIN_POLL = Duration.ofMillis(100);
  private static final Duration LEAVE_SPREAD = Duration.ofSeconds(3);

  private final DaemonSettings settings;
  private final EventLoopGroup controlGroup;
  private final EventLoopGroup traffic;
  private final ControlEventLoop loop;
  private final HostIdentity host;
  private final Metrics metrics;
  private final TlsContexts tls;
  private final InvariantChecker invariants;
  private final HttpClient http;
  private final HttpClient endpoints;
  private final ConfigurationService configuration;
  private final HostListPoller hostList;
  private final MessageRouter router;
  private final MemoryBudget answerMemory;
  private final GossipCounters gossipCounters = new GossipCounters();
  private final List<Runnable> stops = new ArrayList<>();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private Parts parts = Parts.NONE;

  /** The parts that exist once the process has bound its addresses. */
  private record Parts(
      MembershipService membership,
      WitnessService witness,
      BrokerService brokers,
      EntryService entry,
      CallerApi callers,
      AdminApi admin,
      OrderService orders) {

    @SuppressWarnings("NullAway")
    static final Parts NONE = new Parts(null, null, null, null, null, null, null);
  }

  private Daemon(DaemonSettings settings, Clock clock, Metrics metrics, TlsContexts tls) {
    this.settings = settings;
    this.metrics = metrics;
    this.tls = tls;
    this.controlGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.traffic =
        new MultiThreadIoEventLoopGroup(settings.trafficThreads(), NioIoHandler.newFactory());
    this.loop = new ControlEventLoop(controlGroup.next(), clock);
    this.host = hostOf(settings);
    this.invariants = new InvariantChecker(new InvariantViolationHandler(metrics));
    this.http = new HttpClient(traffic, HttpClientOptions.defaults());
    this.endpoints = new HttpClient(traffic, HttpClientOptions.defaults().withoutConnectionReuse());
    this.configuration =
        new ConfigurationService(
            loop,
            http,
            host.name(),
            settings.logAddresses(),
            settings.configurationStream(),
            new SecureRandom());
    this.hostList = new HostListPoller(loop, http, settings.hostListAddresses());
    this.answerMemory = new MemoryBudget(settings.answerMemory());
    this.router = new MessageRouter(loop, () -> metrics.count("malformed-peer-message"));
  }

  private static HostIdentity hostOf(DaemonSettings settings) {
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
   * Starts a process.
   *
   * @return the process once its addresses are bound; fails with {@link java.net.BindException}
   *     when one is in use, or with {@link IOException} when a TLS file cannot be used
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
            traffic,
            settings.peerAddress(),
            identity,
            peerKeys,
            tls.peerOptions(PeerOptions.defaults()),
            router)
        .thenCompose(node -> bindGossip(node, identity, peerKeys))
        .thenCompose(done -> bindOperators())
        .thenCompose(done -> bindCallers());
  }

  private CompletableFuture<Void> bindGossip(
      PeerTransport node, PeerIdentity identity, PeerKeys keys) {
    stops.add(node::stop);
    return GossipTransport.start(
            traffic,
            settings.peerAddress(),
            keys,
            gossipCounters,
            message -> loop.execute(() -> parts.membership().received(message)))
        .thenCompose(gossip -> loop.supply(() -> assemble(node, identity, gossip)));
  }

  private Void assemble(PeerTransport node, PeerIdentity identity, GossipTransport gossip) {
    stops.add(gossip::stop);
    SecureRandom random = new SecureRandom();
    TicketCodec tickets = new TicketCodec(TicketKeys.of(settings.ticketKeys()));
    MembershipService membership = new MembershipService(loop, self(), random, gossip::send);
    WitnessService witness = new WitnessService(loop, tickets, host.incarnation(), invariants);
    PeerClient peers = new PeerClient(host, identity, node, router, loop);
    BrokerService brokers =
        new BrokerService(loop, peers, configuration::configuration, this::isLeaving, invariants);
    EntryContext context =
        new EntryContext(
            host,
            loop,
            traffic,
            endpoints,
            peers,
            configuration::configuration,
            membership,
            witness,
            tickets,
            this::isLeaving,
            invariants,
            metrics,
            new RoutingState(random),
            settings.ticketLifetime(),
            settings.resumeWindow(),
            new EntryLimits(answerMemory, settings.answerLimit(), settings.requestLimit()));
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
    OrderService orders = orders(membership, random);
    stops.add(orders::stop);
    parts = new Parts(membership, witness, brokers, entry, callers, admin, orders);
    connect(new PeerRecordExchange(loop, peers, membership, configuration));
    countBytes(node.counters(), gossip);
    return null;
  }

  private OrderService orders(MembershipService membership, SecureRandom random) {
    return new OrderService(
        loop,
        http,
        host.name() + "-" + host.incarnation(),
        settings.logAddresses(),
        configuration::configuration,
        endpoint -> !isLeaving(endpoint) && isBrokeredHere(membership, endpoint),
        OrderSettings.builder().build(),
        invariants,
        metrics::count,
        random);
  }

  private boolean isBrokeredHere(MembershipService membership, Endpoint endpoint) {
    return membership
        .broker(endpoint)
        .filter(broker -> broker.address().equals(host.peerAddress()))
        .isPresent();
  }

  private void countBytes(PeerCounters links, GossipTransport gossip) {
    String sent = "Payload bytes sent to other hosts as ";
    String received = "Payload bytes received from other hosts as ";
    metrics.counter("samphiredyke_gossip_sent_bytes_total", sent + "datagrams.", gossip::bytesSent);
    metrics.counter(
        "samphiredyke_gossip_received_bytes_total",
        received + "datagrams.",
        gossipCounters::bytesReceived);
    metrics.counter("samphiredyke_links_sent_bytes_total", sent + "streams.", links::bytesSent);
    metrics.counter(
        "samphiredyke_links_received_bytes_total", received + "streams.", links::bytesReceived);
  }

  private Member self() {
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

  private void connect(PeerRecordExchange records) {
    parts.brokers().register(router);
    parts.entry().register(router);
    records.register(router);
    configuration.peers(records);
    configuration.onChange(this::configurationChanged);
    hostList.onChange(this::hostListChanged);
    parts.membership().onChange(this::memberChanged);
    parts.membership().start();
    parts.membership().seed(seeds());
    parts.witness().start();
    parts.entry().start();
    parts.orders().start();
    configuration.start();
    hostList.start(settings.pollInterval());
  }

  private List<String> seeds() {
    List<String> seeds = new ArrayList<>(hostList.entryAddresses());
    settings.peers().forEach(peer -> seeds.add(SocketAddresses.format(peer)));
    return seeds;
  }

  private void configurationChanged() {
    parts.membership().configurationOffset(configuration.configuration().offset());
    parts.brokers().refresh();
  }

  private void hostListChanged() {
    parts.membership().seed(seeds());
    parts.brokers().refresh();
  }

  private void memberChanged(MemberChange change) {
    boolean isGone =
        change.current() == MemberState.DEAD || change.cause() == ChangeCause.SUPERSEDED;
    if (isGone) {
      parts.brokers().entryLost(change.member().incarnation().toString());
    }
  }

  private boolean isLeaving(Endpoint endpoint) {
    return endpoint.state() == EndpointState.LEAVING || hostList.isLeaving(endpoint.address());
  }

  private boolean isReady() {
    return configuration.isReady();
  }

  private CompletableFuture<Void> bindCallers() {
    HttpServerOptions options =
        HttpServerOptions.defaults()
            .withMaxBodyBytes((int) settings.bodyLimit())
            .withIdleTimeout(settings.callerIdleTimeout());
    tls.start(traffic.next());
    return HttpServer.start(traffic, settings.address(), tls.callerOptions(options), this::handle)
        .thenAccept(
            server -> {
              stops.add(server::stop);
              logger.atInfo().log(
                  "started host=%s dataCentre=%s incarnation=%s callers=%s peers=%s",
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
    return HttpServer.start(traffic, address, HttpServerOptions.defaults(), this::handleOperator)
        .thenAccept(server -> stops.add(server::stop));
  }

  private void handleOperator(HttpExchange exchange) {
    if (!parts.admin().handle(exchange, AdminAccessPolicy.ListenerKind.OPERATORS)) {
      sendNoSuchPage(exchange);
    }
  }

  private void handle(HttpExchange exchange) {
    if (!parts.admin().handle(exchange, AdminAccessPolicy.ListenerKind.CALLERS)
        && !parts.callers().handle(exchange)) {
      sendNoSuchPage(exchange);
    }
  }

  private static void sendNoSuchPage(HttpExchange exchange) {
    Problem.notRun(404, "no such page", exchange.method() + " " + exchange.path()).send(exchange);
  }

  private HostStatus status() {
    return new HostStatus(
        host.name(),
        host.dataCentre(),
        host.callerAddress(),
        SettingsLoader.version(),
        parts.entry().isDraining(),
        configurationStatus(),
        parts.brokers().status().stream().map(Daemon::line).toList(),
        parts.entry().tiers());
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

  private static EndpointStatus line(BrokerStatus status) {
    EndpointState state = status.draining() ? EndpointState.LEAVING : EndpointState.ACTIVE;
    int queued = status.queuedByTier().stream().mapToInt(Integer::intValue).sum();
    return new EndpointStatus(
        status.endpoint(), state.name(), status.inFlight(), status.limit(), queued);
  }

  private DrainStatus drainStatus() {
    startDrain();
    return new DrainStatus(host.name(), (int) parts.entry().activeRequests());
  }

  /**
   * Stops as planned: refuses new requests, lets those in flight end, then leaves.
   *
   * @return completes when the process has stopped
   */
  public CompletableFuture<Void> drain() {
    loop.execute(this::startDrain);
    return stopped;
  }

  private void startDrain() {
    if (parts.entry().isDraining()) {
      return;
    }
    logger.atInfo().log("draining host=%s", host.name());
    parts.entry().drain();
    parts.orders().drain();
    parts.membership().drain();
    long deadline = loop.nanoTime() + settings.drainTimeout().toNanos();
    loop.schedule(() -> awaitIdle(deadline), LEAVE_SPREAD);
  }

  private void awaitIdle(long deadline) {
    long active = parts.entry().activeRequests();
    if (active > 0 && loop.nanoTime() < deadline) {
      loop.schedule(() -> awaitIdle(deadline), DRAIN_POLL);
      return;
    }
    logger.atInfo().log("leaving host=%s unfinished=%d", host.name(), active);
    parts.membership().leave();
    loop.schedule(this::stop, LEAVE_SPREAD);
  }

  /** Stops at once. */
  public void stop() {
    stops.forEach(Runnable::run);
    http.close();
    endpoints.close();
    closeGroups();
    stopped.complete(null);
  }

  private void closeGroups() {
    controlGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    traffic.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns a future that completes when the process has stopped. */
  public CompletableFuture<Void> stopped() {
    return stopped;
  }

  /** Returns how many hosts this one knows as alive, itself included. */
  public CompletableFuture<Integer> liveMembers() {
    return loop.supply(() -> parts.membership().liveMembers().size());
  }

  /** Returns how many requests this host works on. */
  public CompletableFuture<Long> activeRequests() {
    return loop.supply(() -> parts.entry().activeRequests());
  }

  /** Returns the bytes of bodies and answers that this host holds. */
  public long heldBytes() {
    return answerMemory.held();
  }

  /** Returns the violations of invariants by name. */
  public java.util.Map<String, Long> invariantViolations() {
    return invariants.violations();
  }
}
