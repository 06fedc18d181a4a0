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
 * Holds the endpoints that are assigned to this host and orders the wanted state there.
 *
 * <p>All methods run on the control loop.
 *
 * @see OrderStateMachine
 */
public final class OrderService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(100);

  private final ControlEventLoop loop;
  private final OrderStream stream;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final Predicate<Endpoint> isAssigned;
  private final OrderSettings settings;
  private final Consumer<String> counter;
  private final OrderStateMachine machine;
  private List<HeldLease> holds = List.of();
  private @Nullable Future<?> timer;
  private boolean isDraining;
  private boolean isStopped;

  /**
   * Creates a service that holds nothing.
   *
   * @param session unique to this run of the process
   * @param logAddresses where the log is served
   * @param isAssigned whether this host should hold an endpoint
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
    this.machine = new OrderStateMachine(session, settings, invariants, random, loop.nanoTime());
  }

  /** Starts to follow the stream. */
  public void start() {
    timer = loop.scheduleWithFixedDelay(this::tick, TICK);
    loop.execute(this::poll);
  }

  /** Gives up all endpoints, so that other hosts need not wait for the lease's end. */
  public void drain() {
    isDraining = true;
  }

  /** Stops at once; the leases lapse. */
  public void stop() {
    isStopped = true;
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }

  /** Returns the leases held here by the log. */
  public List<HeldLease> holds() {
    return machine.heldLeases();
  }

  /** Returns whether an endpoint was in the wanted state when it was last read. */
  public boolean isInWantedState(String endpoint) {
    return machine.isInDesiredState(endpoint);
  }

  private void tick() {
    wish();
    advance();
  }

  private void wish() {
    Map<String, Placement> all = new TreeMap<>();
    Map<String, Placement> wanted = new TreeMap<>();
    Configuration current = configuration.get();
    for (Placement placement : current.placements()) {
      boolean isFirst = all.putIfAbsent(placement.endpoint(), placement) == null;
      if (isFirst && !isDraining && isWanted(current.endpoint(placement.endpoint()))) {
        wanted.put(placement.endpoint(), placement);
      }
    }
    machine.setDesiredPlacements(wanted, all.keySet(), loop.nanoTime());
  }

  private boolean isWanted(Optional<Endpoint> endpoint) {
    return endpoint
        .filter(found -> found.kind() == EndpointKind.MODEL_ENGINE)
        .filter(isAssigned)
        .isPresent();
  }

  private void advance() {
    carryOut(machine.tick(loop.nanoTime()));
    List<HeldLease> current = machine.heldLeases();
    if (!current.equals(holds)) {
      holds = current;
      logger.atInfo().log("orders holds=%s", current);
    }
  }

  private void poll() {
    if (isStopped) {
      return;
    }
    loop.whenDone(stream.read(machine.nextOffset()), this::onPage, this::onPollFailed);
  }

  private void onPage(OrderStream.Page page) {
    if (isStopped) {
      return;
    }
    if (page.isExpired()) {
      machine.offsetOutOfRange(page.first(), loop.nanoTime());
    } else {
      machine.read(page.entries(), loop.nanoTime());
    }
    advance();
    if (page.entries().isEmpty() && !page.isExpired()) {
      poll();
    } else {
      loop.schedule(this::poll, Duration.ofNanos(settings.minAppendInterval()));
    }
  }

  private void onPollFailed(Throwable cause) {
    counter.accept("orders-poll-failed");
    stream.changeAddress();
    loop.schedule(this::poll, Duration.ofNanos(settings.minAppendInterval()));
  }

  private void carryOut(List<OrderDecision> decisions) {
    decisions.forEach(this::carryOut);
  }

  private void carryOut(OrderDecision decision) {
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
            machine.appendFailed(loop.nanoTime());
          }
        },
        failure -> machine.appendFailed(loop.nanoTime()));
  }

  private void readState(OrderDecision.ReadState read) {
    Optional<InetSocketAddress> address = address(read.endpoint());
    if (address.isEmpty()) {
      machine.readFailed(read.endpoint(), read.attempt(), loop.nanoTime());
      return;
    }
    loop.whenDone(
        engines.state(address.get()),
        state -> {
          carryOut(machine.stateRead(read.endpoint(), read.attempt(), state, loop.nanoTime()));
          advance();
        },
        failure -> machine.readFailed(read.endpoint(), read.attempt(), loop.nanoTime()));
  }

  private void sendOrder(OrderDecision.SendOrder send) {
    Optional<InetSocketAddress> address = address(send.endpoint());
    if (address.isEmpty() || isStopped) {
      machine.orderEnded(send.endpoint(), send.attempt(), false, loop.nanoTime());
      return;
    }
    counter.accept("order-" + send.order().kind().name().toLowerCase(Locale.ROOT));
    loop.whenDone(
        engines.order(address.get(), send.order()),
        isTaken -> orderEnded(send, isTaken),
        failure -> orderEnded(send, false));
  }

  private void orderEnded(OrderDecision.SendOrder send, boolean isTaken) {
    if (!isTaken) {
      counter.accept("order-not-taken");
    }
    machine.orderEnded(send.endpoint(), send.attempt(), isTaken, loop.nanoTime());
    advance();
  }

  private Optional<InetSocketAddress> address(String endpoint) {
    return configuration
        .get()
        .endpoint(endpoint)
        .map(found -> SocketAddresses.parse(found.address()));
  }
}
