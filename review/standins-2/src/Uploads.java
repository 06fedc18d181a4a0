import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload bodies of the largest permitted size, at nine tenths of the machine's link, while others
 * send small requests. The disruption is that the tenant of the uploads sends many times its usual.
 */
final class Uploads {

  private static final int STEADY = 5;
  private static final double HOT = 7.5;
  private static final long HOT_MILLIS = 6_500;
  private static final int SMALL_CLIENTS = 10;
  private static final int DESK_MILLIS = 8_000;
  private static final int LOOK_MILLIS = 1_000;
  private static final int SLACK_MILLIS = 500;
  /** Bytes a second of one client; all clients together use nine tenths of the link. */
  private static final int CLIENT_BYTES_PER_S =
      (int) (0.9 * 125_000_000 / Math.ceil(STEADY * HOT));
  private static final int PIECE = 64 * 1024;

  private final Site site;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger smallLate = new AtomicInteger();
  private final AtomicInteger smallVeryLate = new AtomicInteger();
  private final AtomicInteger smallSent = new AtomicInteger();
  private final AtomicInteger smallClosed = new AtomicInteger();
  private final AtomicInteger uploadsSent = new AtomicInteger();
  private final AtomicInteger uploadsClosed = new AtomicInteger();
  private final AtomicInteger uploadsServed = new AtomicInteger();
  private volatile boolean isOver;

  private Uploads(Site site) {
    this.site = site;
  }

  static int run(Path repository, Path folder, boolean hasTrouble) throws Exception {
    try (Site site = new Site(repository, folder, 1)) {
      return new Uploads(site).run(hasTrouble);
    }
  }

  private int run(boolean hasTrouble) throws Exception {
    site.store.put("keyed.op", "config", Deployment.configuration(7, DESK_MILLIS, LOOK_MILLIS));
    Runner.Behaviour desk =
        (runner, request, reply) -> {
          Thread.sleep(43);
          reply.send(200, Runner.headers(request), new byte[800]);
        };
    for (int i = 0; i < 3; i++) {
      site.addRunner("desk", 6, desk);
      site.addRunner("writers", 4, desk);
    }
    site.startGateways();
    if (!site.awaitReady(15_000)) {
      site.log("the gateway is not ready");
      return 2;
    }
    Thread.sleep(3_500);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SMALL_CLIENTS; i++) {
      threads.add(start(this::sendSmall));
    }
    for (int i = 0; i < STEADY; i++) {
      threads.add(start(() -> upload(Long.MAX_VALUE)));
    }
    Thread.sleep(6_000);
    if (hasTrouble) {
      int more = (int) Math.floor(STEADY * HOT) - STEADY;
      site.log("the tenant has %d more clients for %d ms", more, HOT_MILLIS);
      long until = System.nanoTime() + HOT_MILLIS * 1_000_000;
      for (int i = 0; i < more; i++) {
        threads.add(start(() -> upload(until)));
      }
    }
    Thread.sleep(14_000);
    isOver = true;
    for (Thread thread : threads) {
      thread.join(12_000);
    }
    site.log(
        "uploads: %d sent, %d served, %d closed without an answer",
        uploadsSent.get(), uploadsServed.get(), uploadsClosed.get());
    site.log(
        "small requests: %d sent, %d closed without an answer, %d unanswered at %d ms, %d of them "
            + "also %d ms later",
        smallSent.get(),
        smallClosed.get(),
        smallLate.get(),
        LOOK_MILLIS,
        smallVeryLate.get(),
        SLACK_MILLIS);
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

  private Map<String, String> headers(String id, int millis) {
    return Map.of(
        "X-Samphiredyke-Request-Id",
        id,
        "X-Samphiredyke-Deadline-Ms",
        Integer.toString(millis),
        "Authorization",
        "Bearer " + Deployment.KEY);
  }

  private void sendSmall() {
    Caller caller = null;
    while (!isOver) {
      String id = "small-" + ids.incrementAndGet();
      long sentAt = System.nanoTime();
      String outcome;
      try {
        if (caller == null) {
          caller = new Caller(site.gateways.get(0).ip, Site.FRONTEND, 12_000);
        }
        sentAt = System.nanoTime();
        smallSent.incrementAndGet();
        caller.send("GET", "/look/" + id, headers(id, 4 * LOOK_MILLIS), new byte[0]);
        outcome = Integer.toString(caller.receive().status);
      } catch (IOException e) {
        outcome = e.getMessage();
        smallClosed.incrementAndGet();
        close(caller);
        caller = null;
      }
      long millis = (System.nanoTime() - sentAt) / 1_000_000;
      smallLate.addAndGet(millis > LOOK_MILLIS ? 1 : 0);
      smallVeryLate.addAndGet(millis > LOOK_MILLIS + SLACK_MILLIS ? 1 : 0);
      site.log("%s: %s after %d ms", id, outcome, millis);
      sleep(200);
    }
    close(caller);
  }

  private void upload(long until) {
    Caller caller = null;
    while (!isOver && System.nanoTime() < until) {
      String id = "upload-" + ids.incrementAndGet();
      long sentAt = System.nanoTime();
      String outcome;
      try {
        if (caller == null) {
          caller = new Caller(site.gateways.get(0).ip, Site.FRONTEND, 12_000);
        }
        uploadsSent.incrementAndGet();
        sendPaced(caller, id);
        Caller.Answer answer = caller.receive();
        outcome = Integer.toString(answer.status);
        uploadsServed.addAndGet(answer.status == 200 ? 1 : 0);
      } catch (IOException e) {
        outcome = e.getMessage();
        uploadsClosed.incrementAndGet();
        close(caller);
        caller = null;
        sleep(200);
      }
      site.log("%s: %s after %d ms", id, outcome, (System.nanoTime() - sentAt) / 1_000_000);
    }
    close(caller);
  }

  private void sendPaced(Caller caller, String id) throws IOException {
    StringBuilder head = new StringBuilder("POST /desk/upload HTTP/1.1\r\nHost: ficu95.example\r\n");
    headers(id, DESK_MILLIS).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + Deployment.MAX_BODY_BYTES + "\r\n\r\n");
    OutputStream out = caller.socket.getOutputStream();
    out.write(head.toString().getBytes());
    byte[] piece = new byte[PIECE];
    long startedAt = System.nanoTime();
    for (int sent = 0; sent < Deployment.MAX_BODY_BYTES; sent += PIECE) {
      long dueMillis = sent * 1_000L / CLIENT_BYTES_PER_S;
      sleep(dueMillis - (System.nanoTime() - startedAt) / 1_000_000);
      out.write(piece);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(Caller caller) {
    try {
      if (caller != null) {
        caller.close();
      }
    } catch (IOException e) {
      // It is closed either way.
    }
  }
}
