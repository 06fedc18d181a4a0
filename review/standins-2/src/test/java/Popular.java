import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of a tenant ask for the same digest, on a route that was added later; each shows it anew
 * every ten seconds. Others use the first routes. The disruption is the crash of a quarter of the
 * runners at once, while digests are under way.
 */
final class Popular {

  private static final int RUNNERS = 24;
  private static final int SLOTS = 4;
  private static final double CRASHED_SHARE = 0.25;
  private static final int CRASH_MILLIS = 2_000;
  private static final int DIGEST_CLIENTS = 48;
  private static final int BRIEF_CLIENTS = 12;
  private static final int FIRST_EVENT_MILLIS = 150;
  private static final int DIGEST_EVENTS = 20;
  private static final int DIGEST_EVENT_MILLIS = 250;
  private static final int BRIEF_EVENTS = 10;
  private static final int BRIEF_EVENT_MILLIS = 50;
  private static final int CYCLE_MILLIS = 10_000;
  private static final int STABLE_WINDOW_MILLIS = 3_000;
  private static final int MIN_REQUESTS = 20;
  private static final byte[] DIGEST_BODY =
      "{\"digest\":\"slope weather\",\"region\":\"bengal-hills\"}".getBytes(StandardCharsets.UTF_8);

  private final Site site;
  private final List<Runner> writers = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final Count firstRoutes = new Count();
  private final Count laterRoute = new Count();
  private volatile boolean isCounting;
  private volatile boolean isOver;

  /** Requests on routes in the time that is judged. */
  private static final class Count {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    double share() {
      return served.get() / (double) Math.max(1, sent.get());
    }
  }

  private Popular(Site site) {
    this.site = site;
  }

  static int run(Path repository, Path folder, boolean hasTrouble) throws Exception {
    try (Site site = new Site(repository, folder, 2)) {
      return new Popular(site).run(hasTrouble);
    }
  }

  private int run(boolean hasTrouble) throws Exception {
    site.store.put("keyed.op", "config", Deployment.configuration(7, 1_000, 1_000));
    for (int i = 0; i < RUNNERS; i++) {
      writers.add(site.addRunner("writers", SLOTS, this::write));
    }
    site.startGateways();
    if (!site.awaitReady(15_000)) {
      site.log("the gateways are not ready");
      return 2;
    }
    Thread.sleep(3_000);
    for (int i = 0; i < BRIEF_CLIENTS; i++) {
      int client = i;
      HttpPeer.daemon(() -> sendBriefs(client));
    }
    site.log("the operator adds the route /digest/");
    site.store.put("keyed.op", "config", Deployment.withDigest(8));
    Thread.sleep(4_000);
    long startedAt = System.nanoTime();
    for (int i = 0; i < DIGEST_CLIENTS; i++) {
      int client = i;
      HttpPeer.daemon(() -> sendDigests(client, startedAt));
    }
    sleepUntil(startedAt, CYCLE_MILLIS + 2_500);
    if (hasTrouble) {
      crashRunners();
    }
    sleepUntil(startedAt, CYCLE_MILLIS + 2_500 + CRASH_MILLIS + STABLE_WINDOW_MILLIS);
    site.log("judged from here on");
    isCounting = true;
    sleepUntil(startedAt, 4 * CYCLE_MILLIS - 1_500);
    isCounting = false;
    isOver = true;
    log("first routes", firstRoutes);
    log("route added later", laterRoute);
    if (firstRoutes.sent.get() < MIN_REQUESTS || laterRoute.sent.get() < MIN_REQUESTS) {
      site.log("too few requests to judge");
      return 2;
    }
    askAfterRestart();
    boolean isBroken = laterRoute.share() < firstRoutes.share() / 4;
    site.log(isBroken ? "CONFIG is broken" : "CONFIG holds");
    return isBroken ? 1 : 0;
  }

  /** Kills and starts the gateways and asks for the digest once more; this isn't judged. */
  private void askAfterRestart() throws IOException, InterruptedException {
    for (Site.Gateway gateway : site.gateways) {
      gateway.signal("KILL");
      gateway.process.waitFor();
      gateway.start();
    }
    site.awaitReady(15_000);
    Thread.sleep(2_000);
    site.log("the digest after a restart of all gateways:");
    send(0, "/digest/today", DIGEST_BODY, laterRoute);
  }

  private void log(String name, Count count) {
    site.log(
        "%s: %d of %d served (%.2f)", name, count.served.get(), count.sent.get(), count.share());
  }

  private void write(Runner runner, HttpPeer.Request request, HttpPeer.Reply reply)
      throws IOException, InterruptedException {
    boolean isDigest = request.path().startsWith("/digest/");
    Thread.sleep(FIRST_EVENT_MILLIS);
    Map<String, String> headers = Runner.headers(request);
    headers.put("Content-Type", "text/event-stream");
    reply.startChunks(200, headers);
    int events = isDigest ? DIGEST_EVENTS : BRIEF_EVENTS;
    for (int i = 1; i <= events; i++) {
      reply.chunk(String.format(Locale.ROOT, "id: %d\ndata: text\n\n", 6 * i).getBytes());
      Thread.sleep(isDigest ? DIGEST_EVENT_MILLIS : BRIEF_EVENT_MILLIS);
    }
    reply.endChunks();
  }

  private void crashRunners() throws IOException {
    List<Runner> chosen = writers.subList(0, (int) (RUNNERS * CRASHED_SHARE));
    site.log("%d of %d runners crash for %d ms", chosen.size(), RUNNERS, CRASH_MILLIS);
    for (Runner runner : chosen) {
      runner.crash();
      HttpPeer.daemon(
          () -> {
            sleep(CRASH_MILLIS);
            try {
              runner.restarted(runner.id + "-b");
            } catch (IOException e) {
              site.log("%s did not start again: %s", runner.id, e);
            }
          });
    }
  }

  private void sendBriefs(int client) {
    while (!isOver) {
      send(client, "/brief/x", ("brief " + ids.get()).getBytes(), firstRoutes);
      sleep(300);
    }
  }

  private void sendDigests(int client, long startedAt) {
    for (int cycle = 0; !isOver; cycle++) {
      sleepUntil(startedAt, cycle * CYCLE_MILLIS + client * 10);
      send(client, "/digest/today", DIGEST_BODY, laterRoute);
    }
  }

  private void send(int client, String path, byte[] body, Count count) {
    String ip = site.gateways.get(client % site.gateways.size()).ip;
    int number = ids.incrementAndGet();
    String id = "q-" + number;
    boolean isCounted = isCounting;
    String outcome;
    try (Caller caller = new Caller(ip, Site.FRONTEND, 12_000)) {
      caller.send("POST", path, headers(id, number), body);
      Caller.Answer answer = caller.receive();
      outcome =
          answer.status + ", Retry-After " + answer.headers.getOrDefault("retry-after", "none");
      if (answer.status != 200) {
        outcome += ", " + new String(answer.body, StandardCharsets.UTF_8);
      } else if (isCounted) {
        count.served.incrementAndGet();
      }
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    if (isCounted) {
      count.sent.incrementAndGet();
    }
    site.log("%s %s: %s", id, path, outcome);
  }

  private static Map<String, String> headers(String id, int number) {
    return Map.of(
        "X-Samphiredyke-Request-Id", id,
        "X-Samphiredyke-Deadline-Ms", "8000",
        "Authorization", "Bearer " + Deployment.KEY,
        "X-Samphiredyke-Model", "m",
        "X-Samphiredyke-Token-Usage", "1170,120",
        "X-Samphiredyke-Prompt-Prefix",
            "5c1e07a2:60," + Integer.toHexString(0x10000 + number) + ":1110");
  }

  private static void sleepUntil(long startedAt, long millis) {
    sleep(millis - (System.nanoTime() - startedAt) / 1_000_000);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
