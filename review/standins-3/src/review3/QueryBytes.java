package review3;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Callers that name a place in the query, in UTF-8 without percent-encoding. */
final class QueryBytes {

  private static final int REQUESTS = 20;

  private QueryBytes() {}

  public static void main(String[] arguments) throws Exception {
    Case test = new Case(arguments[0]);
    try {
      run(test);
    } catch (Exception e) {
      test.fail(e);
    }
  }

  private static void run(Case test) throws Exception {
    String place = test.hasTrouble ? "\u0995\u09be\u09b2\u09bf\u09ae\u09cd\u09aa\u0982" : "Kalimpong";
    String target = "/safe/status?place=" + place;
    Store store = test.add(new Store(test.prefix + "2"));
    store.put("keyed.op", "config", Config.json(1));
    Runner runner =
        test.add(
            new Runner(
                "i-1",
                "plain",
                test.prefix + "101",
                6,
                store,
                (request, socket, out) -> Runner.succeed(out, request, request.target().getBytes(StandardCharsets.ISO_8859_1))));
    String ip = test.prefix + "10";
    Gateway gateway =
        test.add(new Gateway(test.directory, "front-a-1", ip, List.of(ip), store.address(), List.of()));
    gateway.start();
    Thread.sleep(1_500);
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "lookup-" + i;
      try (Socket socket = new Socket()) {
        socket.connect(gateway.frontend(), 1_000);
        socket.setSoTimeout(5_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = Config.head("GET", target, id, 2_000) + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        Http.Message answer = Http.readResponse(in, false);
        answers.merge(answer == null ? "none" : Integer.toString(answer.status()), 1, Integer::sum);
      }
    }
    test.say("answers " + answers);
    int changed = 0;
    for (Runner.Run run : new ArrayList<>(runner.runs())) {
      String received = new String(run.target().getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
      changed += received.equals(target) ? 0 : 1;
      test.say("run " + run.id() + ": sent '" + target + "', run as '" + received + "'");
    }
    test.end(changed > 0, changed + " of " + runner.runs().size() + " runs with another query than the client's");
  }
}
