package io.samphiredyke.daemon.orders;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.invariant.InvariantChecker;
import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import io.samphiredyke.core.orders.OrderDecision;
import io.samphiredyke.core.orders.OrderSettings;
import io.samphiredyke.core.orders.OrderStateMachine;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Holds the leases of the engines that are assigned to this host and sends them the orders that
 * lead to their desired state.
 *
 * <p>All methods run on the control loop.
 *
 * @see OrderStateMachine
 */
public final class OrderService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private final ControlEventLoop loop;
  private final OrderStream stream;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final Predicate<Endpoint> isAssigned;
  private final OrderSettings settings;
  private final Consumer<String> counter;
  private final OrderStateMachine stateMachine;
  private List<HeldLease> heldLeases = List.of();
  private @Nullable Future<?> timer;
  private boolean isDraining;
  private boolean isStopped;

  /**
   * Creates a service without leases.
   *
   * @param session the session of the leases, unique to this run of the process
   * @param logAddresses the addresses of the log
   * @param isAssigned tests whether this host should hold the lease of an endpoint
   * @param counter counts events by name
   */
  public OrderService(
      ControlEventLoop loop,
      HttpClient http,
      String session,
      List<InetSocketAddress> logAddresses,
      Supplier<Configuration> configuration,
      Predicate<Endpoint> isAssigned,
      OrderSettings settings,
      InvariantChecker invariants,
      Consumer<String> counter,
      RandomGenerator random) {
    this.loop = loop;
    this.stream = new OrderStream(http, logAddresses);
    this.engines = new EngineClient(http, Duration.ofNanos(settings.callTimeout()));
    this.configuration = configuration;
    this.isAssigned = isAssigned;
    this.settings = settings;
    this.counter = counter;
    this.stateMachine =
        new OrderStateMachine(session, settings, invariants, random, loop.nanoTime());
  }

  /** Starts following the orders stream. */
  public void start() {
    timer = loop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL);
    loop.execute(this::poll);
  }

  /** Releases all leases, so that other hosts need not wait for their expiry. */
  public void drain() {
    isDraining = true;
  }

  /** Stops at once without releasing the leases, which then expire. */
  public void stop() {
    isStopped = true;
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }

  /** Returns the leases that this host holds according to the log. */
  public List<HeldLease> heldLeases() {
    return stateMachine.heldLeases();
  }

  /** Returns whether an endpoint was in the desired state when its state was last read. */
  public boolean isInDesiredState(String endpoint) {
    return stateMachine.isInDesiredState(endpoint);
  }

  private void tick() {
    updateDesiredPlacements();
    advanceStateMachine();
  }

  private void updateDesiredPlacements() {
    Map<String, Placement> all = new TreeMap<>();
    Map<String, Placement> desired = new TreeMap<>();
    Configuration current = configuration.get();
    for (Placement placement : current.placements()) {
      boolean isFirst = all.putIfAbsent(placement.endpoint(), placement) == null;
      if (isFirst && !isDraining && isManagedHere(current.endpoint(placement.endpoint()))) {
        desired.put(placement.endpoint(), placement);
      }
    }
    stateMachine.setDesiredPlacements(desired, all.keySet(), loop.nanoTime());
  }

  private boolean isManagedHere(Optional<Endpoint> endpoint) {
    return endpoint
        .filter(found -> found.kind() == EndpointKind.MODEL_ENGINE)
        .filter(isAssigned)
        .isPresent();
  }

  private void advanceStateMachine() {
    execute(stateMachine.tick(loop.nanoTime()));
    List<HeldLease> current = stateMachine.heldLeases();
    if (!current.equals(heldLeases)) {
      heldLeases = current;
      logger.atInfo().log("engine leases changed: leases=%s", current);
    }
  }

  private void poll() {
    if (isStopped) {
      return;
    }
    loop.whenDone(stream.read(stateMachine.nextOffset()), this::onPage, this::onPollFailed);
  }

  private void onPage(OrderStream.Page page) {
    if (isStopped) {
      return;
    }
    boolean isPollDue = false;
    try {
      apply(page);
      isPollDue = page.entries().isEmpty() && !page.isOffsetOutOfRange();
    } finally {
      if (!isPollDue) {
        loop.schedule(this::poll, Duration.ofNanos(settings.minAppendInterval()));
      }
    }
    if (isPollDue) {
      poll();
    }
  }

  private void apply(OrderStream.Page page) {
    if (page.isOffsetOutOfRange()) {
      stateMachine.offsetOutOfRange(page.firstOffset(), loop.nanoTime());
    } else {
      stateMachine.read(page.entries(), loop.nanoTime());
    }
    advanceStateMachine();
  }

  private void onPollFailed(Throwable cause) {
    counter.accept("orders-poll-failed");
    stream.useNextAddress();
    loop.schedule(this::poll, Duration.ofNanos(settings.minAppendInterval()));
  }

  private void execute(List<OrderDecision> decisions) {
    decisions.forEach(this::execute);
  }

  private void execute(OrderDecision decision) {
    if (decision instanceof OrderDecision.Append append) {
      append(OrderMessage.of(append.record()));
    } else if (decision instanceof OrderDecision.AppendSnapshot append) {
      append(OrderMessage.of(append.snapshot()));
    } else if (decision instanceof OrderDecision.ReadState read) {
      readState(read);
    } else if (decision instanceof OrderDecision.SendOrder send) {
      sendOrder(send);
    }
  }

  private void append(OrderMessage message) {
    counter.accept("orders-append");
    loop.whenDone(
        stream.append(message, Duration.ofNanos(settings.appendTimeout())),
        isAppended -> {
          if (!isAppended) {
            stateMachine.appendFailed(loop.nanoTime());
          }
        },
        failure -> stateMachine.appendFailed(loop.nanoTime()));
  }

  private void readState(OrderDecision.ReadState read) {
    Optional<InetSocketAddress> address = addressOf(read.endpoint());
    if (address.isEmpty()) {
      stateMachine.readFailed(read.endpoint(), read.attempt(), loop.nanoTime());
      return;
    }
    loop.whenDone(
        engines.state(address.get()),
        state -> {
          execute(stateMachine.stateRead(read.endpoint(), read.attempt(), state, loop.nanoTime()));
          advanceStateMachine();
        },
        failure -> stateMachine.readFailed(read.endpoint(), read.attempt(), loop.nanoTime()));
  }

  private void sendOrder(OrderDecision.SendOrder send) {
    Optional<InetSocketAddress> address = addressOf(send.endpoint());
    if (address.isEmpty() || isStopped) {
      stateMachine.orderEnded(send.endpoint(), send.attempt(), false, loop.nanoTime());
      return;
    }
    counter.accept("order-" + send.order().kind().name().toLowerCase(Locale.ROOT));
    loop.whenDone(
        engines.sendOrder(address.get(), send.order()),
        isAccepted -> orderEnded(send, isAccepted),
        failure -> orderEnded(send, false));
  }

  private void orderEnded(OrderDecision.SendOrder send, boolean isAccepted) {
    if (!isAccepted) {
      counter.accept("order-not-taken");
    }
    stateMachine.orderEnded(send.endpoint(), send.attempt(), isAccepted, loop.nanoTime());
    advanceStateMachine();
  }

  private Optional<InetSocketAddress> addressOf(String endpoint) {
    return configuration
        .get()
        .endpoint(endpoint)
        .map(found -> SocketAddresses.parse(found.address()));
  }
}
