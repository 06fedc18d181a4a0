package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiredyke.core.follow.PositionCheck;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.frontend.FrontendServer;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.request.RequestService;
import io.samphiredyke.gateway.request.RequestsInProgress;
import io.samphiredyke.gateway.request.ServingState;
import io.samphiredyke.gateway.request.StartupQueue;
import io.samphiredyke.gateway.rollout.RolloutService;
import io.samphiredyke.gateway.scheduling.HostCapacity;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.gateway.store.ConfigurationLagDetector;
import io.samphiredyke.gateway.store.ConfigurationReceiver;
import io.samphiredyke.gateway.store.ConfigurationWatch;
import io.samphiredyke.gateway.store.EndpointReceiver;
import io.samphiredyke.gateway.store.EndpointRefresh;
import io.samphiredyke.gateway.store.EndpointUpdateBroadcaster;
import io.samphiredyke.gateway.store.HostRegistry;
import io.samphiredyke.gateway.store.PeerBootstrap;
import io.samphiredyke.gateway.store.QuarantineArchive;
import io.samphiredyke.gateway.store.StoreEraTracker;
import io.samphiredyke.gateway.store.StreamOriginArchive;
import io.samphiredyke.gateway.store.TopicFollower;
import io.samphiredyke.gateway.upstream.AddressResolver;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.platform.HostSettings;
import io.samphiredyke.platform.StoreClient;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/** Creates and connects the components of the gateway process, which share one event loop. */
final class Gateway {

  /**
   * Time after a store outage within which expired entries reappear, guaranteed by the platform.
   */
  private static final Duration ENTRY_EXPIRY_GRACE = Duration.ofMillis(1_700);

  /** Long-poll timeout for the configuration on hosts that other hosts inform of its position. */
  private static final Duration CONFIGURATION_LONG_POLL = Duration.ofSeconds(30);

  /** Interval of reads of the endpoint entries, a third of the shortest known drain period. */
  private static final Duration ENDPOINT_READ_INTERVAL = Duration.ofMillis(600);

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  private final RandomGenerator random;
  private HostSettings settings;
  private final EventLoop eventLoop;
  private final ControlEventLoop loop;
  private final DecisionLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final EndpointDirectory directory;
  private final ServingState state;
  private final PeerGroup peers;
  private final EndpointAccess access;
  private final RequestService service;
  private final StartupQueue startupQueue;
  private final ClientLimits clients;
  private final FrontendServer frontend;
  private final EndpointReceiver endpoints;
  private final StoreClient store;
  private final TopicFollower configurationFollower;
  private final TopicFollower endpointFollower;
  private final EndpointUpdateBroadcaster endpointUpdates;
  private final EndpointRefresh endpointRefresh;
  private final PeerBootstrap peerBootstrap;
  private final ConfigurationLagDetector configurationLag;
  private final ConfigurationWatch configurationWatch;
  private final HostRegistry registry;
  private final QuarantineArchive quarantine;
  private final StoreEraTracker storeEra;
  private final RolloutService rollouts;
  private boolean stopping;
  private boolean ready;

  Gateway(HostSettings settings, EventLoopGroup group, RandomGenerator random, DecisionLog log) {
    this(settings, group, random, log, SocketAddresses::parse);
  }

  /** Creates a gateway that connects to endpoints at resolved addresses. */
  Gateway(
      HostSettings settings,
      EventLoopGroup group,
      RandomGenerator random,
      DecisionLog log,
      AddressResolver resolver) {
    this.settings = settings;
    this.random = random;
    this.log = log;
    this.clients = new ClientLimits(settings.maxDescriptors(), log);
    this.eventLoop = group.next();
    this.loop = new ControlEventLoop(eventLoop, Clock.systemUTC(), log::actionFailed);
    this.access =
        new EndpointAccess(
            eventLoop, settings, resolver, this::directory, this::peers, random, log);
    EndpointConnectionPool connections = access.connections();
    this.directory =
        new EndpointDirectory(
            ENTRY_EXPIRY_GRACE.toNanos(),
            new EndpointAvailability(this::scheduler, connections, loop::nanoTime, log));
    this.state = new ServingState(directory);
    this.peers =
        new PeerGroup(
            loop,
            HostCapacity.member(settings, random),
            SchedulerOptions.of(settings),
            Duration.ofMillis(settings.quotaWindowMillis()),
            random,
            log);
    HttpClient http = new HttpClient(group, StoreClient.httpOptions());
    this.store = new StoreClient(http, SocketAddresses.parse(settings.storeAddress()));
    this.rollouts = new RolloutService(loop, peers, store, settings.rolloutExposure(), log);
    ConfigurationReceiver configurations =
        new ConfigurationReceiver(
            this::configure, rollouts::operatorRecords, this::onConfigurationRead, log);
    this.endpoints =
        new EndpointReceiver(loop, directory, log, this::onEndpointsLoaded, this::onEndpointsRead);
    this.configurationFollower =
        new TopicFollower(
            loop,
            store,
            StoreClient.OPERATOR_TOPIC,
            this::configurationWait,
            Duration.ZERO,
            configurations,
            log,
            random);
    this.configurationWatch =
        new ConfigurationWatch(
            loop,
            peers,
            settings.peerAddress(),
            configurationFollower,
            new PositionCheck(
                Duration.ofMillis(settings.configurationApplyMillis()), CONFIGURATION_LONG_POLL),
            log);
    this.endpointFollower =
        new TopicFollower(
            loop,
            store,
            StoreClient.ENDPOINT_TOPIC,
            () -> Duration.ZERO,
            ENDPOINT_READ_INTERVAL,
            endpoints,
            log,
            random);
    this.endpointUpdates =
        new EndpointUpdateBroadcaster(
            loop, peers, settings.peerAddress(), endpoints, endpointFollower);
    this.endpointRefresh = new EndpointRefresh(loop, endpointFollower, log);
    this.service =
        new RequestService(
            loop,
            state,
            peers.slotClient(),
            peers.statements(),
            peers.crashes(),
            peers.streams(),
            connections,
            log,
            metrics,
            random,
            endpointRefresh::read);
    peers.statements().setLeavingListener(directory::markLeaving);
    this.startupQueue = new StartupQueue(loop, service);
    this.frontend = clients.frontend(eventLoop, startupQueue, state::limits);
    endpointFollower.setReadCondition(endpointUpdates::mustReadStore);
    this.peerBootstrap =
        new PeerBootstrap(
            loop, peers, settings.peerAddress(), http, configurations, endpoints, log, random);
    this.configurationLag =
        new ConfigurationLagDetector(peers, peerBootstrap, configurationFollower, log);
    this.registry =
        new HostRegistry(
            loop, store, settings.hostName(), settings.peerAddress(), this::onHosts, log);
    this.quarantine =
        new QuarantineArchive(loop, store, peers, settings.peerAddress(), this::updateReady, log);
    StreamOriginArchive streams =
        new StreamOriginArchive(
            loop, store, settings.hostName(), () -> peers.liveMembers().size(), log);
    peers.streams().setArchive(streams);
    this.storeEra =
        new StoreEraTracker(configurationFollower, endpointFollower, this::onStoreRestored, log);
    new GatewayGauges(metrics)
        .register(
            log, frontend, peers, connections, directory, configurationFollower, endpointFollower)
        .registerStatements(
            peers.statements(), service.pauses(), scheduler().quarantine(), storeEra)
        .registerCrashes(peers.crashes())
        .registerRequests(service.inProgress(), streams)
        .registerResponses(service)
        .registerPaths(access)
        .registerClients(clients, frontend)
        .registerRollouts(rollouts);
  }

  private PoolScheduler scheduler() {
    return peers.slotClient().scheduler();
  }

  /** Binds all addresses and starts reading configuration and endpoints. */
  CompletableFuture<Void> start() {
    ManagementServer managementServer = new ManagementServer(this, metrics, clients);
    store.setEraListener(era -> loop.execute(() -> storeEra.observe(era)));
    loop.execute(this::startFollowing);
    return frontend
        .start(SocketAddresses.parse(settings.callerAddress()))
        .thenCompose(done -> peers.start(eventLoop, settings.seedAddresses()))
        .thenCompose(done -> access.start())
        .thenCompose(done -> managementServer.start(eventLoop, settings));
  }

  private void startFollowing() {
    configurationFollower.start();
    endpointFollower.start();
    registry.start();
    quarantine.start();
    peerBootstrap.start();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL);
    new PauseDetector(loop, this::onPause).start();
  }

  /** Refreshes the state after a pause, in which connections and endpoints may have been lost. */
  private void onPause() {
    log.event("woke_up", "held", peers.slotClient().heldSlots());
    access.connections().closeIdle();
    endpointUpdates.forgetReaders();
    endpointFollower.readNow();
  }

  private void onHosts(List<String> peerAddresses) {
    peers.replaceSeeds(peerAddresses);
    updateReady();
  }

  private void sweep() {
    frontend.closeExpired();
    access.sweep();
    directory.tick(loop.nanoTime());
    service.pauses().expire(loop.nanoTime());
    peers.streams().observe(directory.all());
    configurationWatch.checkPosition();
    configurationLag.check(configurationVersion(), loop.nanoTime());
    updateReady();
  }

  long configurationVersion() {
    ServingConfiguration configuration = state.configuration();
    return configuration == null ? -1 : configuration.version();
  }

  private void onStoreRestored() {
    registry.registerAgain(random);
    quarantine.writeAgain(random);
    rollouts.onStoreRestored();
  }

  private Duration configurationWait() {
    return configurationWatch.nextWait();
  }

  private void onConfigurationRead() {
    configurationWatch.onRead();
  }

  private void onEndpointsRead(long nextOffset) {
    endpointUpdates.broadcast(nextOffset);
    endpointRefresh.onRead();
  }

  private void onEndpointsLoaded() {
    updateReady();
    endpointRefresh.onRead();
  }

  private boolean configure(ServingConfiguration newer, long offset) {
    ServingConfiguration previous = state.configuration();
    if (!state.updateConfiguration(newer)) {
      return false;
    }
    log.event(
        "config",
        "version",
        newer.version(),
        "before",
        previous == null ? -1 : previous.version(),
        "routes",
        newer.routes().size(),
        "offset",
        offset,
        "era",
        storeEra.era());
    scheduler().configure(newer, loop.nanoTime());
    peers.streams().setLongestStream(newer.longestTimeout());
    peers.setConfigurationVersion(newer.version());
    updateReady();
    return true;
  }

  private void updateReady() {
    boolean isInitialized = state.configuration() != null && endpoints.isLoaded();
    if (isInitialized && registry.hasCompletedRead() && quarantine.hasCompletedRead()) {
      startupQueue.open();
    }
    boolean isReady = !stopping && isInitialized;
    if (isReady != ready) {
      ready = isReady;
      log.event("readiness", "ready", isReady);
      peers.setDraining(!isReady);
    }
  }

  /** Applies the settings that can change at run time. */
  void apply(HostSettings newer) {
    settings = newer;
    peers.replaceSeeds(newer.seedAddresses());
  }

  int graceMillis() {
    return settings.graceMillis();
  }

  EndpointDirectory directory() {
    return directory;
  }

  boolean readsEndpointEntries() {
    return endpointUpdates.mustReadStore();
  }

  HostRegistry registry() {
    return registry;
  }

  PeerBootstrap peerBootstrap() {
    return peerBootstrap;
  }

  boolean isReady() {
    return ready;
  }

  /** Returns the caller addresses of ready hosts, for a caller to choose from. */
  List<String> readyAddresses() {
    return HostCapacity.readyAddresses(peers.liveMembers(), ManagementServer.MAX_ADDRESSES, random);
  }

  double callerTtlSeconds() {
    return Math.min(ManagementServer.TTL_SECONDS, settings.maxCallerTtlSeconds());
  }

  ControlEventLoop loop() {
    return loop;
  }

  FrontendServer frontend() {
    return frontend;
  }

  /** Returns the number of tunnels for other hosts that are open. */
  int openTunnels() {
    return access.tunnels().openTunnels();
  }

  PeerGroup peers() {
    return peers;
  }

  RequestsInProgress requestsInProgress() {
    return service.inProgress();
  }

  /** Starts draining: the host is no longer ready, and running requests continue. */
  void drain() {
    if (!stopping) {
      stopping = true;
      frontend.drain();
      access.tunnels().drain();
      updateReady();
    }
  }
}
