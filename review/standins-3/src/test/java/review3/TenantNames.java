package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A configuration that adds two tenants; the runner is told which of them a request is of. */
final class TenantNames {

  private static final int REQUESTS = 20;
  private static final int CONFIG_APPLY_MILLIS = 2_000;

  private TenantNames() {}

  public static void main(String[] arguments) throws Exception {
    Case test = new Case(arguments[0]);
    try {
      run(test);
    } catch (Exception e) {
      test.fail(e);
    }
  }

  private static void run(Case test) throws Exception {
    // Names in the script of the Bengal hills, of which the pages demand no other one.
    String first = test.hasTrouble ? "\u09aa\u09be\u09b9\u09be\u09a1\u09bc" : "pahara";
    String second = test.hasTrouble ? "\u0995\u09c7\u09a6\u09be\u09b0\u09be" : "kedara";
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
                (request, socket, out) -> Runner.succeed(out, request, "done".getBytes())));
    String ip = test.prefix + "10";
    Gateway gateway =
        test.add(new Gateway(test.directory, "front-a-1", ip, List.of(ip), store.address(), List.of()));
    gateway.start();
    Thread.sleep(1_500);
    store.put(
        "keyed.op",
        "config",
        Config.json(2, Config.tenant(first, "key-of-the-first") + "," + Config.tenant(second, "key-of-the-second")));
    test.say("version 2 is confirmed, with the tenants " + first + " and " + second);
    Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      for (String whose : List.of("first", "second")) {
        int status = call(gateway, whose + "-" + i, "key-of-the-" + whose);
        answers.merge(whose + " " + status, 1, Integer::sum);
      }
    }
    test.say("answers " + answers);
    int foreign = 0;
    for (Runner.Run run : new ArrayList<>(runner.runs())) {
      String tenant = run.id().startsWith("first") ? first : second;
      String told = new String(run.tenant().getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
      boolean isForeign = !told.equals(tenant);
      foreign += isForeign ? 1 : 0;
      test.say("run " + run.id() + " of " + tenant + ": X-Samphiredyke-Tenant is '" + told + "'");
    }
    test.end(foreign > 0, foreign + " of " + runner.runs().size() + " runs with another tenant than that of the key");
  }

  private static int call(Gateway gateway, String id, String key) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(gateway.frontend(), 1_000);
      socket.setSoTimeout(5_000);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      socket
          .getOutputStream()
          .write((Config.head("POST", "/unsafe/a", id, 2_000, key) + "Content-Length: 0\r\n\r\n").getBytes());
      Http.Message answer = Http.readResponse(in, false);
      return answer == null ? 0 : answer.status();
    }
  }
}
