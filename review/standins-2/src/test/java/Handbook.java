import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The prompts of one tenant begin with its handbook, whose sections are parts of the prompt. Other
 * clients send small requests to another service. The disruption is that the tenant sends many
 * times its usual.
 */
final class Handbook {

  private static final int RUNNERS = 48;
  private static final int SLOTS = 4;
  private static final int SECTIONS = 1_200;
  private static final int SECTION_TOKENS = 52_000 / SECTIONS;
  private static final int STEADY = 3;
  private static final double HOT = 7.5;
  private static final int HOT_MILLIS = 6_500;
  private static final int PAUSE_MILLIS = 500;
  private static final int EVENTS = 10;
  private static final int EVENT_MILLIS = 40;
  private static final int SMALL_CLIENTS = 10;
  private static final int LOOK_MILLIS = 1_000;
  private static final int SLACK_MILLIS = 500;

  private final Site site;
  private final String handbook;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger smallSent = new AtomicInteger();
  private final AtomicInteger smallLate = new AtomicInteger();
  private final AtomicInteger smallVeryLate = new AtomicInteger();
  private final AtomicInteger questions = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private volatile boolean isOver;

  private Handbook(Site site) {
    this.site = site;
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < SECTIONS; i++) {
      parts.append(String.format(Locale.ROOT, "%08x:%d,", 0x5c1e0000 + i, SECTION_TOKENS));
    }
    this.handbook = parts.toString();
  }

  static int run(Path repository, Path folder, boolean hasTrouble) throws Exception {
    try (Site site = new Site(repository, folder, 2)) {
      return new Handbook(site).run(hasTrouble);
    }
  }

  private int run(boolean hasTrouble) throws Exception {
    site.store.put("keyed.op", "config", Deployment.configuration(7, 1_000, LOOK_MILLIS));
    for (int i = 0; i < RUNNERS; i++) {
      site.addRunner("writers", SLOTS, this::write);
    }
    for (int i = 0; i < 3; i++) {
      site.addRunner(
          "desk",
          6,
          (runner, request, reply) -> {
            Thread.sleep(43);
            reply.send(200, Runner.headers(request), new byte[800]);
          });
    }
    site.startGateways();
    if (!site.awaitReady(15_000)) {
      site.log("the gateways are not ready");
      return 2;
    }
    Thread.sleep(3_500);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SMALL_CLIENTS; i++) {
      int client = i;
      threads.add(start(() -> sendSmall(client)));
    }
    for (int i = 0; i < STEADY; i++) {
      int client = i;
      threads.add(start(() -> ask(client, Long.MAX_VALUE)));
    }
    Thread.sleep(20_000);
    if (hasTrouble) {
      int more = (int) Math.floor(STEADY * HOT) - STEADY;
      site.log("the tenant has %d more clients for %d ms", more, HOT_MILLIS);
      long until = System.nanoTime() + HOT_MILLIS * 1_000_000L;
      for (int i = 0; i < more; i++) {
        int client = i;
        threads.add(start(() -> ask(client, until)));
      }
    }
    Thread.sleep(18_000);
    isOver = true;
    for (Thread thread : threads) {
      thread.join(12_000);
    }
    site.log("questions: %d sent, %d answered with success", questions.get(), answered.get());
    site.log(
        "small requests: %d sent, %d unanswered at %d ms, %d of them also %d ms later",
        smallSent.get(), smallLate.get(), LOOK_MILLIS, smallVeryLate.get(), SLACK_MILLIS);
    boolean isBroken = smallVeryLate.get() * 2 > smallLate.get();
    site.log(isBroken ? "CONFIG is broken" : "CONFIG holds");
    return isBroken ? 1 : 0;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void write(Runner runner, HttpPeer.Request request, HttpPeer.Reply reply)
      throws IOException, InterruptedException {
    Thread.sleep(150);
    Map<String, String> headers = Runner.headers(request);
    headers.put("Content-Type", "text/event-stream");
    reply.startChunks(200, headers);
    for (int i = 1; i <= EVENTS; i++) {
      reply.chunk(String.format(Locale.ROOT, "id: %d\ndata: text\n\n", 6 * i).getBytes());
      Thread.sleep(EVENT_MILLIS);
    }
    reply.endChunks();
  }

  private void ask(int client, long until) {
    String ip = site.gateways.get(client % site.gateways.size()).ip;
    while (!isOver && System.nanoTime() < until) {
      int number = ids.incrementAndGet();
      String id = "question-" + number;
      long sentAt = System.nanoTime();
      long pause = PAUSE_MILLIS;
      String outcome;
      questions.incrementAndGet();
      try (Caller caller = new Caller(ip, Site.FRONTEND, 12_000)) {
        Map<String, String> headers =
            Map.of(
                "X-Samphiredyke-Request-Id", id,
                "X-Samphiredyke-Deadline-Ms", "8000",
                "Authorization", "Bearer " + Deployment.KEY,
                "X-Samphiredyke-Model", "m",
                "X-Samphiredyke-Token-Usage", SECTIONS * SECTION_TOKENS + 200 + ",60",
                "X-Samphiredyke-Prompt-Prefix", handbook + Integer.toHexString(number) + ":200");
        caller.send("POST", "/brief/x", headers, new byte[500]);
        Caller.Answer answer = caller.receive();
        outcome = Integer.toString(answer.status);
        answered.addAndGet(answer.status == 200 ? 1 : 0);
        String retryAfter = answer.headers.getOrDefault("retry-after", "0");
        pause = Math.max(pause, (long) (1_000 * Double.parseDouble(retryAfter)));
      } catch (IOException e) {
        outcome = e.getMessage();
      }
      site.log("%s: %s after %d ms", id, outcome, (System.nanoTime() - sentAt) / 1_000_000);
      sleep(pause);
    }
  }

  private void sendSmall(int client) {
    String ip = site.gateways.get(client % site.gateways.size()).ip;
    while (!isOver) {
      String id = "small-" + ids.incrementAndGet();
      long sentAt = System.nanoTime();
      String outcome;
      smallSent.incrementAndGet();
      try (Caller caller = new Caller(ip, Site.FRONTEND, 12_000)) {
        Map<String, String> headers =
            Map.of(
                "X-Samphiredyke-Request-Id", id,
                "X-Samphiredyke-Deadline-Ms", Integer.toString(4 * LOOK_MILLIS),
                "Authorization", "Bearer " + Deployment.KEY);
        sentAt = System.nanoTime();
        caller.send("GET", "/look/" + id, headers, new byte[0]);
        outcome = Integer.toString(caller.receive().status);
      } catch (IOException e) {
        outcome = e.getMessage();
      }
      long millis = (System.nanoTime() - sentAt) / 1_000_000;
      smallLate.addAndGet(millis > LOOK_MILLIS ? 1 : 0);
      smallVeryLate.addAndGet(millis > LOOK_MILLIS + SLACK_MILLIS ? 1 : 0);
      site.log("%s: %s after %d ms", id, outcome, millis);
      sleep(200);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
