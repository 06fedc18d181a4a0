import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound runner. Refuses requests of others, and those for which it has no room. */
final class Runner implements HttpPeer.Handler {

  /** What a runner does with a request that it runs. */
  interface Behaviour {
    void run(Runner runner, HttpPeer.Request request, HttpPeer.Reply reply)
        throws IOException, InterruptedException;
  }

  private static final int PORT = 8080;
  private static final int QUEUE = 24;
  private static final long HEARTBEAT_MILLIS = 1_200;

  final String id;
  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger active = new AtomicInteger();
  private final Site site;
  private final String service;
  private final String ip;
  private final int slots;
  private final Behaviour behaviour;
  private final long bornAt = System.currentTimeMillis();
  private final String version;
  private volatile boolean isDraining;
  private volatile boolean isGone;
  private final HttpPeer peer;
  private final AtomicInteger waiting = new AtomicInteger();
  private final java.util.concurrent.Semaphore room;

  Runner(
      Site site,
      String id,
      String service,
      String version,
      String ip,
      int slots,
      Behaviour behaviour)
      throws IOException {
    this.site = site;
    this.version = version;
    this.id = id;
    this.service = service;
    this.ip = ip;
    this.slots = slots;
    this.behaviour = behaviour;
    this.room = new java.util.concurrent.Semaphore(slots, true);
    this.peer = new HttpPeer(ip, PORT, this);
    HttpPeer.daemon(this::keepEntry);
  }

  /**
   * Crashes: the connections are reset and nothing is said any more. The store removes the entry
   * after three heartbeats.
   */
  void crash() throws IOException {
    isGone = true;
    peer.crash();
    HttpPeer.daemon(
        () -> {
          try {
            Thread.sleep(3 * HEARTBEAT_MILLIS);
          } catch (InterruptedException e) {
            return;
          }
          site.store.put("keyed.servers", id, null);
        });
  }

  boolean isGone() {
    return isGone;
  }

  /** Starts again at the same address, as another boot with another id. */
  Runner restarted(String newId) throws IOException {
    return new Runner(site, newId, service, version, ip, slots, behaviour);
  }

  /** Reports that it drains, serves for the drain time and until it is idle, and leaves. */
  void drain(long drainMillis) {
    isDraining = true;
    HttpPeer.daemon(
        () -> {
          try {
            Thread.sleep(HEARTBEAT_MILLIS + drainMillis);
            while (active.get() + waiting.get() > 0) {
              Thread.sleep(100);
            }
            isGone = true;
            site.store.put("keyed.servers", id, null);
            peer.crash();
          } catch (IOException | InterruptedException e) {
            site.log("%s: %s", id, e);
          }
        });
  }

  String version() {
    return version;
  }

  private void keepEntry() {
    int sequence = 0;
    while (!isGone) {
      sequence++;
      site.store.put(
          "keyed.servers",
          id,
          String.format(
              Locale.ROOT,
              "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"darj-a\",\"Version\":\"%s\","
                  + "\"BatchSlots\":%d,\"State\":\"%s\",\"ColdLeftMs\":0,\"Stage\":\"both\","
                  + "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                  + "\"Sequence\":%d,\"born\":%d}",
              service,
              ip,
              PORT,
              version,
              slots,
              isDraining ? "draining" : "ready",
              sequence,
              bornAt));
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void handle(HttpPeer.Request request, HttpPeer.Reply reply) throws IOException {
    if (request.path().equals("/health")) {
      reply.send(200, Map.of("X-Samphiredyke-Instance-Id", id), new byte[0]);
      return;
    }
    if (request.path().equals("/samphiredyke/report")) {
      String report =
          String.format(
              Locale.ROOT,
              "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                  + "\"Busy\":false,\"Sequence\":2,\"Queued\":%d,\"Active\":%d,\"KvUsed\":0,"
                  + "\"KvTotal\":486240,\"Handles\":0,\"born\":%d}",
              waiting.get(),
              active.get(),
              bornAt);
      reply.send(200, Map.of("Content-Type", "application/json"), report.getBytes());
      return;
    }
    String requestId = request.headers().getOrDefault("x-samphiredyke-request-id", "");
    String expected = request.headers().getOrDefault("x-samphiredyke-expect-instance", id);
    if (!expected.equals(id)) {
      reply.send(421, Map.of("X-Samphiredyke-Instance-Id", id), new byte[0]);
      return;
    }
    if (requestId.isEmpty() || waiting.get() >= QUEUE) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("X-Samphiredyke-Request-Id", requestId);
      headers.put("X-Samphiredyke-Not-Executed", "1");
      reply.send(requestId.isEmpty() ? 400 : 503, headers, new byte[0]);
      return;
    }
    waiting.incrementAndGet();
    room.acquireUninterruptibly();
    waiting.decrementAndGet();
    active.incrementAndGet();
    runs.incrementAndGet();
    site.log("run %s at %s, body %d bytes", requestId, id, request.body().length);
    try {
      behaviour.run(this, request, reply);
    } catch (InterruptedException e) {
      throw new IOException(e);
    } finally {
      active.decrementAndGet();
      room.release();
    }
  }

  /** Returns the headers of an answer of this runner. */
  static Map<String, String> headers(HttpPeer.Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put(
        "X-Samphiredyke-Request-Id",
        request.headers().getOrDefault("x-samphiredyke-request-id", ""));
    headers.put("X-Samphiredyke-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
    return headers;
  }
}
