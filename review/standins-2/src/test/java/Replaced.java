import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines serve a steady load. The disruption is that machines are replaced, one after the
 * other: another one is added at a new address, and the old one is stopped and removed. At the end,
 * with the disruption and without it, all processes are killed and started again.
 */
final class Replaced {

  private static final int MACHINES = 2;
  private static final int ROUNDS = 10;
  private static final int RUNNERS = 16;
  private static final int SLOTS = 4;
  private static final int FIRST_EVENT_MILLIS = 100;
  private static final int EVENTS = 18;
  private static final int EVENT_MILLIS = 50;
  /** Four fifths of what the runners serve: 64 slots, a second for each request. */
  private static final int PER_SECOND = 52;

  private static final int RECOVER_MILLIS = 12_000;
  private static final int JUDGED_MILLIS = 10_000;

  private final Site site;
  private final List<Site.Gateway> current = new CopyOnWriteArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final Count before = new Count();
  private final Count after = new Count();
  private volatile Count counted = before;
  private volatile boolean isOver;

  private static final class Count {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    double share() {
      return served.get() / (double) Math.max(1, sent.get());
    }
  }

  private Replaced(Site site) {
    this.site = site;
  }

  static int run(Path repository, Path folder, boolean hasTrouble) throws Exception {
    try (Site site = new Site(repository, folder, MACHINES * (1 + ROUNDS))) {
      return new Replaced(site).run(hasTrouble);
    }
  }

  private int run(boolean hasTrouble) throws Exception {
    site.store.put("keyed.op", "config", Deployment.configuration(7, 1_000, 1_000));
    for (int i = 0; i < RUNNERS; i++) {
      site.addRunner("writers", SLOTS, this::write);
    }
    for (int i = 0; i < MACHINES; i++) {
      add(i);
    }
    Thread.sleep(5_000);
    HttpPeer.daemon(this::sendAll);
    Thread.sleep(5_000);
    for (int round = 1; round <= ROUNDS && hasTrouble; round++) {
      replaceAll(round);
      Thread.sleep(1_500);
    }
    Thread.sleep(5_000);
    counted = null;
    site.log("final fault: all processes are killed");
    for (Site.Gateway gateway : current) {
      gateway.signal("KILL");
    }
    for (Site.Gateway gateway : current) {
      gateway.process.waitFor();
      gateway.start();
    }
    for (Site.Gateway gateway : current) {
      if (!awaitReady(gateway)) {
        return 2;
      }
    }
    site.log("the machines are back");
    Thread.sleep(RECOVER_MILLIS);
    site.log("judged from here on");
    counted = after;
    Thread.sleep(JUDGED_MILLIS);
    counted = null;
    Thread.sleep(3_000);
    isOver = true;
    log("before the final fault", before);
    log("after it and RecoverS", after);
    boolean isBroken = before.share() >= 0.25 && after.share() < 0.25;
    site.log(isBroken ? "RECOVER is broken" : "RECOVER holds");
    return isBroken ? 1 : 0;
  }

  private void log(String name, Count count) {
    site.log(
        "%s: %d of %d served (%.2f)", name, count.served.get(), count.sent.get(), count.share());
  }

  private Site.Gateway add(int index) throws IOException, InterruptedException {
    Site.Gateway gateway = site.gateways.get(index);
    gateway.start();
    awaitReady(gateway);
    current.add(gateway);
    return gateway;
  }

  private boolean awaitReady(Site.Gateway gateway) throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      if (gateway.isReady()) {
        return true;
      }
      Thread.sleep(100);
    }
    site.log("%s is not ready", gateway.name);
    return false;
  }

  /** Replaces each machine; an old one stops when its successor has been ready for a second. */
  private void replaceAll(int round) throws IOException, InterruptedException {
    List<Site.Gateway> old = new ArrayList<>(current);
    for (int i = 0; i < MACHINES; i++) {
      add(round * MACHINES + i);
      Thread.sleep(1_000);
      current.remove(old.get(i));
      old.get(i).signal("TERM");
    }
  }

  private void write(Runner runner, HttpPeer.Request request, HttpPeer.Reply reply)
      throws IOException, InterruptedException {
    Thread.sleep(FIRST_EVENT_MILLIS);
    Map<String, String> headers = Runner.headers(request);
    headers.put("Content-Type", "text/event-stream");
    reply.startChunks(200, headers);
    for (int i = 1; i <= EVENTS; i++) {
      reply.chunk(String.format(Locale.ROOT, "id: %d\ndata: text\n\n", 6 * i).getBytes());
      Thread.sleep(EVENT_MILLIS);
    }
    reply.endChunks();
  }

  /** Sends requests at a fixed rate, each at one of the machines that are in service. */
  private void sendAll() {
    long startedAt = System.nanoTime();
    for (int i = 0; !isOver; i++) {
      sleep(i * 1_000L / PER_SECOND - (System.nanoTime() - startedAt) / 1_000_000);
      HttpPeer.daemon(this::send);
    }
  }

  private void send() {
    Site.Gateway gateway = current.get(ThreadLocalRandom.current().nextInt(current.size()));
    int number = ids.incrementAndGet();
    String id = "q-" + number;
    Count count = counted;
    String outcome;
    if (count != null) {
      count.sent.incrementAndGet();
    }
    try (Caller caller = new Caller(gateway.ip, Site.FRONTEND, 9_000)) {
      Map<String, String> headers =
          Map.of(
              "X-Samphiredyke-Request-Id", id,
              "X-Samphiredyke-Deadline-Ms", "8000",
              "Authorization", "Bearer " + Deployment.KEY,
              "X-Samphiredyke-Model", "m",
              "X-Samphiredyke-Token-Usage", "1170,108",
              "X-Samphiredyke-Prompt-Prefix",
                  "5c1e07a2:60," + Integer.toHexString(0x10000 + number) + ":1110");
      caller.send("POST", "/brief/x", headers, new byte[100]);
      Caller.Answer answer = caller.receive();
      outcome = answer.status + (answer.status == 200 ? "" : " " + new String(answer.body));
      if (count != null && answer.status == 200) {
        count.served.incrementAndGet();
      }
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    site.log("%s at %s: %s", id, gateway.name, outcome);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
