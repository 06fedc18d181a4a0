package io.samphiredyke.daemon.orders;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Future;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Endpoint;
import io.samphiredyke.core.config.EndpointKind;
import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.invariant.Invariants;
import io.samphiredyke.core.orders.LeaseRecord.Hold;
import io.samphiredyke.core.orders.OrderDecision;
import io.samphiredyke.core.orders.OrderMachine;
import io.samphiredyke.core.orders.OrderSettings;
import io.samphiredyke.net.control.Addresses;
import io.samphiredyke.net.control.ControlLoop;
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
 * @see OrderMachine
 */
public final class OrderService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(100);

  private final ControlLoop loop;
  private final OrderStream stream;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final Predicate<Endpoint> isAssigned;
  private final OrderSettings settings;
  private final Consumer<String> counter;
  private final OrderMachine machine;
  private List<Hold> holds = List.of();
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
      ControlLoop loop,
      HttpClient http,
      String session,
      List<InetSocketAddress> logAddresses,
      Supplier<Configuration> configuration,
      Predicate<Endpoint> isAssigned,
      OrderSettings settings,
      Invariants invariants,
      Consumer<String> counter,
      RandomGenerator random) {
    this.loop = loop;
    this.stream = new OrderStream(http, logAddresses);
    this.engines = new EngineClient(http, Duration.ofNanos(settings.callTimeout()));
    this.configuration = configuration;
    this.isAssigned = isAssigned;
    this.settings = settings;
    this.counter = counter;
    this.machine = new OrderMachine(session, settings, invariants, random, loop.now());
  }

  /** Starts to follow the stream. */
  public void start() {
    timer = loop.repeat(this::tick, TICK);
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
  public List<Hold> holds() {
    return machine.holds();
  }

  /** Returns whether an endpoint was in the wanted state when it was last read. */
  public boolean isInWantedState(String endpoint) {
    return machine.isInWantedState(endpoint);
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
    machine.wish(wanted, all.keySet(), loop.now());
  }

  private boolean isWanted(Optional<Endpoint> endpoint) {
    return endpoint
        .filter(found -> found.kind() == EndpointKind.MODEL_ENGINE)
        .filter(isAssigned)
        .isPresent();
  }

  private void advance() {
    carryOut(machine.tick(loop.now()));
    List<Hold> current = machine.holds();
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
      machine.expired(page.first(), loop.now());
    } else {
      machine.read(page.entries(), loop.now());
    }
    advance();
    if (page.entries().isEmpty() && !page.isExpired()) {
      poll();
    } else {
      loop.schedule(this::poll, Duration.ofNanos(settings.batch()));
    }
  }

  private void onPollFailed(Throwable cause) {
    counter.accept("orders-poll-failed");
    stream.changeAddress();
    loop.schedule(this::poll, Duration.ofNanos(settings.batch()));
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
            machine.appendFailed(loop.now());
          }
        },
        failure -> machine.appendFailed(loop.now()));
  }

  private void readState(OrderDecision.ReadState read) {
    Optional<InetSocketAddress> address = address(read.endpoint());
    if (address.isEmpty()) {
      machine.readFailed(read.endpoint(), read.attempt(), loop.now());
      return;
    }
    loop.whenDone(
        engines.state(address.get()),
        state -> {
          carryOut(machine.stateRead(read.endpoint(), read.attempt(), state, loop.now()));
          advance();
        },
        failure -> machine.readFailed(read.endpoint(), read.attempt(), loop.now()));
  }

  private void sendOrder(OrderDecision.SendOrder send) {
    Optional<InetSocketAddress> address = address(send.endpoint());
    if (address.isEmpty() || isStopped) {
      machine.orderEnded(send.endpoint(), send.attempt(), false, loop.now());
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
    machine.orderEnded(send.endpoint(), send.attempt(), isTaken, loop.now());
    advance();
  }

  private Optional<InetSocketAddress> address(String endpoint) {
    return configuration.get().endpoint(endpoint).map(found -> Addresses.parse(found.address()));
  }
}
