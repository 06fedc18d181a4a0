package io.samphiredyke.soak;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.platform.standin.CallerStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A caller: asks some host for addresses, keeps them, connects itself, and stays with a host for a
 * while. Open connections are used until they end. Runs on one event loop.
 */
final class Caller {

  /** How long a caller waits for an answer; the shortest of the users' time limits is 1 s. */
  private static final Duration WAIT = Duration.ofSeconds(4);

  private static final Duration LISTING_WAIT = Duration.ofMillis(700);
  private static final long MAX_THINK_MILLIS = 250;
  private static final long RETRY_MILLIS = 150;

  /** Longest time that a caller stays with one host. */
  private static final long MAX_STAY_MILLIS = 4_000;

  /** Some callers keep addresses for longer than they were told, by this factor at most. */
  private static final int MAX_TTL_FACTOR = 3;

  /** One in so many requests is left by its caller before the answer. */
  private static final int LEAVES_ONE_IN = 40;

  private static final long LEAVES_AFTER_MILLIS = 60;

  /** One in so many requests is of the customer with a quota. */
  private static final int LIMITED_ONE_IN = 3;

  private final EventLoop loop;
  private final HttpClient http;
  private final Fleet fleet;
  private final Evidence evidence;
  private final SplittableRandom random;
  private List<String> addresses = List.of();
  private long listedUntil;
  private Fleet.Host host;
  private long stayUntil;
  private volatile boolean stopped;

  Caller(EventLoop loop, HttpClient http, Fleet fleet, Evidence evidence, SplittableRandom random) {
    this.loop = loop;
    this.http = http;
    this.fleet = fleet;
    this.evidence = evidence;
    this.random = random;
    this.host = fleet.host(random.nextInt(fleet.hosts().size()));
  }

  void start() {
    later(random.nextLong(MAX_THINK_MILLIS));
  }

  void stop() {
    stopped = true;
  }

  private void later(long millis) {
    if (!stopped) {
      loop.schedule(this::next, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void next() {
    long now = System.currentTimeMillis();
    if (now > listedUntil) {
      list(now);
      return;
    }
    if (now > stayUntil) {
      move(now);
    }
    send();
  }

  private void list(long now) {
    Fleet.Host asked = fleet.host(random.nextInt(fleet.hosts().size()));
    InetSocketAddress directory = SocketAddresses.parse(asked.directoryAddress());
    http.send(CallerStandIn.addressesRequest(directory, LISTING_WAIT))
        .whenComplete((answer, failure) -> loop.execute(() -> listed(answer, failure, now)));
  }

  private void listed(HttpResponse answer, Throwable failure, long now) {
    if (failure != null || answer.status() != 200) {
      later(RETRY_MILLIS);
      return;
    }
    try {
      CallerStandIn.AddressList listing = CallerStandIn.parseAddresses(answer.body());
      addresses = listing.addresses();
      int factor = 1 + random.nextInt(MAX_TTL_FACTOR);
      listedUntil = now + listing.validFor().toMillis() * factor;
    } catch (IOException e) {
      throw new IllegalStateException("malformed list of addresses from a host", e);
    }
    move(now);
    send();
  }

  private void move(long now) {
    String address = addresses.get(random.nextInt(addresses.size()));
    for (Fleet.Host candidate : fleet.hosts()) {
      if (candidate.address().equals(address)) {
        host = candidate;
      }
    }
    stayUntil = now + random.nextLong(MAX_STAY_MILLIS);
  }

  private void send() {
    RequestKind[] kinds = RequestKind.values();
    RequestKind kind = kinds[random.nextInt(kinds.length)];
    String id = Long.toHexString(random.nextLong());
    boolean isLimited = random.nextInt(LIMITED_ONE_IN) == 0;
    evidence.sending(id, kind);
    AnswerReader reader =
        new AnswerReader(id, kind, host.name(), exchange -> loop.execute(() -> ended(exchange)));
    reader.sentOn(
        http.open(
            CallerStandIn.request(
                SocketAddresses.parse(host.linkedAddress()),
                "/" + kind.route() + "/" + id,
                id,
                isLimited ? PlatformFixtures.LIMITED_KEY : PlatformFixtures.KEY,
                kind.isStream(),
                WAIT),
            reader));
    if (random.nextInt(LEAVES_ONE_IN) == 0) {
      loop.schedule(reader::leave, LEAVES_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    }
    loop.schedule(reader::leave, WAIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void ended(Exchange exchange) {
    evidence.ended(exchange);
    if (!exchange.isServed()) {
      stayUntil = 0;
    }
    later(exchange.isServed() ? random.nextLong(MAX_THINK_MILLIS) : RETRY_MILLIS);
  }
}
