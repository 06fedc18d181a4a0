package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.EndpointDirectory;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServingConfiguration;
import io.samphiredyke.gateway.frontend.FrontendServer;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.request.RequestService;
import io.samphiredyke.gateway.request.ServingState;
import io.samphiredyke.gateway.request.StartupQueue;
import io.samphiredyke.gateway.scheduling.HostCapacity;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.gateway.store.ConfigurationLagDetector;
import io.samphiredyke.gateway.store.ConfigurationReceiver;
import io.samphiredyke.gateway.store.EndpointReceiver;
import io.samphiredyke.gateway.store.EndpointUpdateBroadcaster;
import io.samphiredyke.gateway.store.HostRegistry;
import io.samphiredyke.gateway.store.PeerBootstrap;
import io.samphiredyke.gateway.store.TopicFollower;
import io.samphiredyke.gateway.upstream.EndpointConnectionPool;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.platform.HostSettings;
import io.samphiredyke.platform.StoreClient;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/** All parts of the process, wired together on one event loop. */
final class Gateway {

  /** How long lapsed entries may stay away after the store's return, as the platform promises. */
  private static final Duration LAPSE_GRACE = Duration.ofMillis(1_700);

  /** Longest wait at the store for the next configuration; probes notice a silent connection. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(30);

  /**
   * Pause between two reads of the endpoints' entries; a third of the shortest drain bound known.
   */
  private static final Duration ENDPOINT_PACE = Duration.ofMillis(600);

  private static final Duration SWEEP = Duration.ofMillis(250);

  /** Share of the repeat budget that is used; the rest covers hosts that decide alone. */
  private static final double REPEAT_SHARE = 0.6;

  /** Share of the tolerated overuse of quotas that is given away; the rest covers the same. */
  private static final double QUOTA_SHARE = 0.6;

  /** How long a grant may be missing from its owner's report, milliseconds. */
  private static final long REPORT_GRACE_MILLIS = 300;

  private final RandomGenerator random;
  private HostSettings settings;
  private final EventLoop eventLoop;
  private final ControlEventLoop loop;
  private final DecisionLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final EndpointDirectory directory;
  private final ServingState belief;
  private final PeerGroup peers;
  private final EndpointConnectionPool connections;
  private final StartupQueue startGate;
  private final FrontendServer front;
  private final EndpointReceiver endpoints;
  private final TopicFollower configurationFollower;
  private final TopicFollower endpointFollower;
  private final EndpointUpdateBroadcaster news;
  private final PeerBootstrap peerBelief;
  private final ConfigurationLagDetector configurationLag;
  private final HostRegistry registry;
  private boolean stopping;
  private boolean ready;

  Gateway(HostSettings settings, EventLoopGroup group, RandomGenerator random, DecisionLog log) {
    this.settings = settings;
    this.random = random;
    this.log = log;
    this.eventLoop = group.next();
    this.loop = new ControlEventLoop(eventLoop, Clock.systemUTC());
    this.directory = new EndpointDirectory(LAPSE_GRACE.toNanos(), new DirectoryListener());
    this.belief = new ServingState(directory);
    PoolOptions options =
        new PoolOptions(
            settings.repeatRatio() * REPEAT_SHARE,
            settings.repeatReserve() * REPEAT_SHARE,
            settings.quotaTolerance() * QUOTA_SHARE,
            settings.quotaSlack() * QUOTA_SHARE,
            REPORT_GRACE_MILLIS);
    this.peers = new PeerGroup(loop, self(settings, random), options, random, log);
    this.connections = new EndpointConnectionPool(eventLoop);
    RequestService service =
        new RequestService(loop, belief, peers.places(), connections, log, metrics, random);
    this.startGate = new StartupQueue(loop, service);
    this.front = new FrontendServer(eventLoop, startGate, this::limits);
    HttpClient http = new HttpClient(group, HttpClientOptions.defaults());
    StoreClient store = new StoreClient(http, SocketAddresses.parse(settings.storeAddress()));
    ConfigurationReceiver configurations = new ConfigurationReceiver(this::configure, log);
    this.endpoints =
        new EndpointReceiver(loop, directory, log, this::updateReady, this::endpointsRead);
    this.configurationFollower =
        new TopicFollower(
            loop,
            store,
            StoreClient.OPERATOR_TOPIC,
            CONFIGURATION_WAIT,
            Duration.ZERO,
            configurations,
            log,
            random);
    this.endpointFollower =
        new TopicFollower(
            loop,
            store,
            StoreClient.ENDPOINT_TOPIC,
            Duration.ZERO,
            ENDPOINT_PACE,
            endpoints,
            log,
            random);
    this.news =
        new EndpointUpdateBroadcaster(
            loop, peers, settings.peerAddress(), endpoints, endpointFollower);
    endpointFollower.readOnlyIf(news::mustRead);
    this.peerBelief =
        new PeerBootstrap(
            loop, peers, settings.peerAddress(), http, configurations, endpoints, log, random);
    this.configurationLag =
        new ConfigurationLagDetector(peers, peerBelief, configurationFollower, log);
    this.registry =
        new HostRegistry(
            loop, store, settings.hostName(), settings.peerAddress(), this::hostsListed, log);
    new GatewayGauges(metrics)
        .register(
            log, front, peers, connections, directory, configurationFollower, endpointFollower);
  }

  private static Member self(HostSettings settings, RandomGenerator random) {
    return Member.builder()
        .name(settings.hostName())
        .address(settings.peerAddress())
        .incarnation(IncarnationId.random(random))
        .dataCentre(settings.dataCentre())
        .generation(System.currentTimeMillis() / 1_000)
        .draining(true)
        .callerAddress(settings.callerAddress())
        .capacity(HostCapacity.of(settings.cores(), settings.linkMegabits()))
        .build();
  }

  private CallerLimits limits() {
    ServingConfiguration configuration = belief.configuration();
    return configuration == null ? CallerLimits.defaults() : configuration.limits();
  }

  /** Binds all addresses and starts to learn what requests need. */
  CompletableFuture<Void> start() {
    ManagementServer pages = new ManagementServer(this, metrics);
    loop.execute(this::follow);
    return front
        .start(SocketAddresses.parse(settings.callerAddress()))
        .thenCompose(done -> peers.start(eventLoop, settings.seedAddresses()))
        .thenCompose(done -> pages.start(eventLoop, settings));
  }

  private void follow() {
    configurationFollower.start();
    endpointFollower.start();
    registry.start();
    peerBelief.start();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP);
    new PauseDetector(loop, this::wokeUp).start();
  }

  /** What was believed before a pause is doubtful: connections may be gone, endpoints too. */
  private void wokeUp() {
    log.event("woke_up", "held", peers.places().heldPlaces());
    connections.dropIdle();
    news.distrust();
    endpointFollower.readNow();
  }

  private void hostsListed(List<String> peerAddresses) {
    peers.seed(peerAddresses);
    updateReady();
  }

  private void sweep() {
    front.sweep();
    connections.sweep();
    directory.tick(loop.nanoTime());
    configurationLag.check(configurationVersion(), loop.nanoTime());
    updateReady();
  }

  long configurationVersion() {
    ServingConfiguration configuration = belief.configuration();
    return configuration == null ? -1 : configuration.version();
  }

  private void endpointsRead(long next) {
    news.tell(next);
  }

  private void configure(ServingConfiguration newer) {
    ServingConfiguration known = belief.configuration();
    if (belief.configure(newer)) {
      log.event(
          "config",
          "version",
          newer.version(),
          "before",
          known == null ? -1 : known.version(),
          "routes",
          newer.routes().size());
      peers.places().scheduler().configure(newer, loop.nanoTime());
      peers.configurationVersion(newer.version());
      updateReady();
    }
  }

  private void updateReady() {
    boolean isInformed = belief.configuration() != null && endpoints.isListed();
    if (isInformed && registry.hasAsked()) {
      startGate.open();
    }
    boolean now = !stopping && isInformed;
    if (now != ready) {
      ready = now;
      log.event("readiness", "ready", now);
      peers.draining(!now);
    }
  }

  /** Puts those settings in force that can change while the process runs. */
  void apply(HostSettings newer) {
    settings = newer;
    peers.seed(newer.seedAddresses());
  }

  int graceMillis() {
    return settings.graceMillis();
  }

  EndpointDirectory directory() {
    return directory;
  }

  boolean readsEndpointEntries() {
    return news.mustRead();
  }

  PeerBootstrap peerBelief() {
    return peerBelief;
  }

  boolean isReady() {
    return ready;
  }

  /**
   * Returns the caller addresses of the hosts that are ready. Hosts that leave probes unanswered
   * are left out, unless no other is known: callers lose a second at each of them.
   */
  List<String> readyAddresses() {
    List<Member> sound = new ArrayList<>();
    List<Member> suspect = new ArrayList<>();
    for (Member member : peers.liveMembers()) {
      if (!member.draining() && !member.callerAddress().isEmpty()) {
        (member.state() == MemberState.ALIVE ? sound : suspect).add(member);
      }
    }
    List<Member> usable = sound.isEmpty() ? suspect : sound;
    return HostCapacity.draw(usable, ManagementServer.MAX_ADDRESSES, random).stream()
        .map(Member::callerAddress)
        .toList();
  }

  double callerTtlSeconds() {
    return Math.min(ManagementServer.TTL_SECONDS, settings.maxCallerTtlSeconds());
  }

  ControlEventLoop loop() {
    return loop;
  }

  FrontendServer front() {
    return front;
  }

  PeerGroup peers() {
    return peers;
  }

  /** Takes no new callers from now on; what runs goes on. */
  void drain() {
    if (!stopping) {
      stopping = true;
      front.drain();
      updateReady();
    }
  }

  private final class DirectoryListener implements EndpointDirectory.Listener {

    @Override
    public void available(EndpointRecord endpoint) {
      log.event(
          "endpoint_up",
          "endpoint",
          endpoint.id(),
          "service",
          endpoint.service(),
          "address",
          endpoint.address(),
          "slots",
          endpoint.slots(),
          "cold_ms",
          endpoint.warmUpRemainingMillis());
      scheduler().put(endpoint, loop.nanoTime());
    }

    @Override
    public void unavailable(EndpointRecord endpoint, String reason) {
      log.event("endpoint_down", "endpoint", endpoint.id(), "reason", reason);
      scheduler().remove(endpoint);
      connections.dropIdle(endpoint.address());
    }

    private PoolScheduler scheduler() {
      return peers.places().scheduler();
    }
  }
}
