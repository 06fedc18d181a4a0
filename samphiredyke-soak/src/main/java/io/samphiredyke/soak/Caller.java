package io.samphiredyke.soak;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
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
 * Simulates a caller: fetches the list of addresses from a random host, caches it, and sends
 * requests to one of the addresses for a while before it picks another one. Open connections are
 * reused until they are closed. Runs on one event loop.
 */
final class Caller {

  /** Time limit for a response; the shortest time limit that users set is 1 s. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

  private static final Duration ADDRESSES_TIMEOUT = Duration.ofMillis(700);
  private static final long MAX_THINK_MILLIS = 250;
  private static final long RETRY_MILLIS = 150;

  /** Maximum time for which a caller sends its requests to the same host. */
  private static final long MAX_SAME_HOST_MILLIS = 4_000;

  /** Maximum factor by which callers exceed the validity of a cached address list. */
  private static final int MAX_TTL_FACTOR = 3;

  /** One in this many requests is abandoned by its caller before the response. */
  private static final int ABANDON_ONE_IN = 40;

  private static final long ABANDON_AFTER_MILLIS = 60;

  /** One in this many requests is sent as the customer with a quota. */
  private static final int LIMITED_ONE_IN = 3;

  /** One in this many requests crashes the endpoints that run it. */
  private static final int CRASHING_ONE_IN = 60;

  /** Number of different requests that crash endpoints, over all callers. */
  private static final int CRASHING_REQUESTS = 2;

  /** How often a caller takes up the same stream. */
  private static final int MAX_TAKE_UPS = 2;

  private static final RequestKind[] CRASHING_KINDS = {RequestKind.SAFE, RequestKind.UNSAFE};

  private final EventLoop loop;
  private final HttpClient http;
  private final Fleet fleet;
  private final Observations observations;
  private final SplittableRandom random;
  private List<String> addresses = List.of();
  private long addressesUsableUntil;
  private Fleet.Host host;
  private long keepHostUntil;
  private int takeUps;
  private volatile boolean stopped;
  private volatile boolean sendsCrashing = true;

  Caller(
      EventLoop loop,
      HttpClient http,
      Fleet fleet,
      Observations observations,
      SplittableRandom random) {
    this.loop = loop;
    this.http = http;
    this.fleet = fleet;
    this.observations = observations;
    this.random = random;
    this.host = fleet.host(random.nextInt(fleet.hosts().size()));
  }

  void start() {
    scheduleNext(random.nextLong(MAX_THINK_MILLIS));
  }

  void stop() {
    stopped = true;
  }

  /** Ends the requests that crash endpoints, together with the other faults of the run. */
  void endCrashing() {
    sendsCrashing = false;
  }

  private void scheduleNext(long millis) {
    if (!stopped) {
      loop.schedule(this::runNext, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void runNext() {
    long now = System.currentTimeMillis();
    if (now > addressesUsableUntil) {
      fetchAddresses(now);
      return;
    }
    if (now > keepHostUntil) {
      switchHost(now);
    }
    send();
  }

  private void fetchAddresses(long now) {
    Fleet.Host directoryHost = fleet.host(random.nextInt(fleet.hosts().size()));
    InetSocketAddress directory = SocketAddresses.parse(directoryHost.directoryAddress());
    http.send(CallerStandIn.addressesRequest(directory, ADDRESSES_TIMEOUT))
        .whenComplete(
            (response, failure) -> loop.execute(() -> addressesReceived(response, failure, now)));
  }

  private void addressesReceived(HttpResponse response, Throwable failure, long now) {
    if (failure != null || response.status() != 200) {
      scheduleNext(RETRY_MILLIS);
      return;
    }
    try {
      CallerStandIn.AddressList addressList = CallerStandIn.parseAddresses(response.body());
      addresses = addressList.addresses();
      int factor = 1 + random.nextInt(MAX_TTL_FACTOR);
      addressesUsableUntil = now + addressList.validFor().toMillis() * factor;
    } catch (IOException e) {
      throw new IllegalStateException("malformed list of addresses from a host", e);
    }
    switchHost(now);
    send();
  }

  private void switchHost(long now) {
    String address = addresses.get(random.nextInt(addresses.size()));
    for (Fleet.Host candidate : fleet.hosts()) {
      if (candidate.address().equals(address)) {
        host = candidate;
      }
    }
    keepHostUntil = now + random.nextLong(MAX_SAME_HOST_MILLIS);
  }

  private void send() {
    if (random.nextInt(CRASHING_ONE_IN) == 0 && sendsCrashing) {
      sendCrashing();
      return;
    }
    RequestKind[] kinds = RequestKind.values();
    RequestKind kind = kinds[random.nextInt(kinds.length)];
    String id = Long.toHexString(random.nextLong());
    boolean isLimited = random.nextInt(LIMITED_ONE_IN) == 0;
    ResponseReader reader = reader(id, id, 0, kind);
    open(
        reader,
        CallerStandIn.request(
            SocketAddresses.parse(host.proxiedAddress()),
            "/" + kind.route() + "/" + id,
            id,
            isLimited ? PlatformFixtures.LIMITED_KEY : PlatformFixtures.KEY,
            kind.isStream(),
            RESPONSE_TIMEOUT));
    if (random.nextInt(ABANDON_ONE_IN) == 0) {
      loop.schedule(reader::abandon, ABANDON_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sendCrashing() {
    RequestKind kind = CRASHING_KINDS[random.nextInt(CRASHING_KINDS.length)];
    String id = Long.toHexString(random.nextLong());
    open(
        reader(id, id, 0, kind),
        CallerStandIn.crashingRequest(
            SocketAddresses.parse(host.proxiedAddress()),
            kind.route(),
            random.nextInt(CRASHING_REQUESTS),
            id,
            RESPONSE_TIMEOUT));
  }

  /** Takes up a stream that broke off. */
  private void takeUp(String streamId, int lastEvent) {
    takeUps++;
    switchHost(System.currentTimeMillis());
    String id = Long.toHexString(random.nextLong());
    observations.recordTakeUp(id, streamId);
    open(
        reader(id, streamId, lastEvent, RequestKind.RESUMABLE),
        CallerStandIn.takeUp(
            SocketAddresses.parse(host.proxiedAddress()),
            "/" + RequestKind.RESUMABLE.route() + "/" + streamId,
            id,
            streamId,
            lastEvent,
            RESPONSE_TIMEOUT));
  }

  private ResponseReader reader(String id, String streamId, int lastEvent, RequestKind kind) {
    observations.recordRequest(id, kind);
    return new ResponseReader(
        id,
        streamId,
        lastEvent,
        kind,
        host.name(),
        (reader, exchange) -> loop.execute(() -> requestEnded(reader, exchange)));
  }

  private void open(ResponseReader reader, HttpRequest request) {
    reader.setStream(http.open(request, reader));
    loop.schedule(reader::abandon, RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void requestEnded(ResponseReader reader, Exchange exchange) {
    observations.recordExchange(exchange);
    if (!exchange.isServed()) {
      keepHostUntil = 0;
    }
    boolean canTakeUp = exchange.kind() == RequestKind.RESUMABLE && reader.isBrokenOff();
    if (canTakeUp && takeUps < MAX_TAKE_UPS && !stopped) {
      loop.schedule(
          () -> takeUp(reader.streamId(), reader.lastEvent()), RETRY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    takeUps = 0;
    scheduleNext(exchange.isServed() ? random.nextLong(MAX_THINK_MILLIS) : RETRY_MILLIS);
  }
}
