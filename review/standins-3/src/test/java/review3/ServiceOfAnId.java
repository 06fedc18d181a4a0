package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A runner crashes and starts again under its Id, as a runner of another service. */
final class ServiceOfAnId {

  private static final int CALLERS = 24;
  private static final int PAUSE_MILLIS = 20;

  /** Longer than ReuseAfterS, shorter than the silence after which an entry is removed. */
  private static final int DOWN_MILLIS = 2_500;

  private static final int BEFORE_MILLIS = 4_000;
  private static final int AFTER_MILLIS = 10_000;

  private final Case test;
  private final Map<String, Integer> answers = new HashMap<>();
  private volatile boolean isOver;

  private ServiceOfAnId(Case test) {
    this.test = test;
  }

  public static void main(String[] arguments) throws Exception {
    Case test = new Case(arguments[0]);
    try {
      new ServiceOfAnId(test).run();
    } catch (Exception e) {
      test.fail(e);
    }
  }

  private void run() throws Exception {
    Store store = test.add(new Store(test.prefix + "2"));
    store.put("keyed.op", "config", Config.json(1));
    Runner first = runner(store, "i-1", "plain", test.prefix + "101", 0);
    Runner second = runner(store, "i-2", "plain", test.prefix + "102", 0);
    Runner third = runner(store, "i-3", "other", test.prefix + "103", 0);
    List<String> ips = List.of(test.prefix + "10", test.prefix + "11");
    List<Gateway> gateways = new ArrayList<>();
    for (String ip : ips) {
      gateways.add(
          test.add(
              new Gateway(test.directory, "front-" + ip, ip, ips, store.address(), List.of())).start());
    }
    Thread.sleep(1_500);
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Threads.start("caller-" + i, () -> call(gateways.get(number % gateways.size()), number));
    }
    Thread.sleep(BEFORE_MILLIS);
    String address = second.address();
    second.close();
    test.say("the runner i-2 of the service plain at " + address + " has crashed");
    Thread.sleep(DOWN_MILLIS);
    String service = test.hasTrouble ? "other" : "plain";
    Runner again = runner(store, "i-2", service, test.prefix + "102", second.port());
    test.say("a runner of the service " + service + " has started under the Id i-2 at " + again.address());
    Thread.sleep(AFTER_MILLIS);
    isOver = true;
    Thread.sleep(1_000);
    test.say("answers " + answers);
    int wrong = 0;
    for (Runner runner : List.of(first, second, third, again)) {
      String expected = runner == again ? service : runner == third ? "other" : "plain";
      int right = 0;
      int misplaced = 0;
      for (Runner.Run run : runner.runs()) {
        boolean isOther = run.target().startsWith("/other/");
        if (isOther == expected.equals("other")) {
          right++;
        } else {
          misplaced++;
          test.say("run " + run.id() + ": " + run.method() + " " + run.target() + " by " + runner.address() + " of " + expected);
        }
      }
      test.say("runner at " + runner.address() + " of " + expected + ": " + right + " of its service, " + misplaced + " of another");
      wrong += misplaced;
    }
    test.end(wrong > 0, wrong + " requests were run by a service to which no configuration lets them go");
  }

  private Runner runner(Store store, String id, String service, String ip, int port) throws IOException {
    return test.add(
        new Runner(
            id,
            service,
            ip,
            port,
            6,
            store,
            (request, socket, out) -> {
              Thread.sleep(60);
              Runner.succeed(out, request, ("done by " + service).getBytes());
            }));
  }

  private void call(Gateway gateway, int number) throws Exception {
    for (int i = 0; !isOver; i++) {
      String target = i % 2 == 0 ? "/unsafe/registration" : "/other/" + i;
      String id = "caller-" + number + "-" + i;
      String outcome;
      try (Socket socket = new Socket()) {
        socket.connect(gateway.frontend(), 1_000);
        socket.setSoTimeout(5_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        socket
            .getOutputStream()
            .write((Config.head("POST", target, id, 2_000) + "Content-Length: 0\r\n\r\n").getBytes());
        Http.Message answer = Http.readResponse(in, false);
        outcome = answer == null ? "none" : Integer.toString(answer.status());
      } catch (IOException e) {
        outcome = e.getClass().getSimpleName();
      }
      synchronized (answers) {
        answers.merge(target.substring(0, 6) + " " + outcome, 1, Integer::sum);
      }
      Thread.sleep(PAUSE_MILLIS);
    }
  }
}
