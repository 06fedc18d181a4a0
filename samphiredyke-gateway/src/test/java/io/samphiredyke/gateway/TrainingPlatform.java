package io.samphiredyke.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.standin.EndpointStandIn;
import io.samphiredyke.platform.standin.PlatformFixtures;
import io.samphiredyke.platform.standin.StoreStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A platform of stand-ins before which one gateway process runs while its loaded classes are
 * listed.
 *
 * <p>Arguments: the settings file to write. Ends after some requests of each kind were served.
 */
final class TrainingPlatform {

  private static final int FIRST_PORT = 23_100;
  private static final int ROUNDS = 20;

  private TrainingPlatform() {}

  /** Writes the settings, waits for the gateway and sends requests. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    StoreStandIn store = new StoreStandIn().start(group);
    EndpointStandIn plain = new EndpointStandIn("p-1", "plain", false).start(group);
    EndpointStandIn model = new EndpointStandIn("m-1", "model", true).start(group);
    for (EndpointStandIn endpoint : List.of(plain, model)) {
      store.put(StoreClient.ENDPOINT_TOPIC, endpoint.id(), endpoint.entry("ready"));
    }
    store.put(
        StoreClient.OPERATOR_TOPIC,
        StoreClient.CONFIGURATION_KEY,
        PlatformFixtures.configuration(1, List.of(), List.of(PlatformFixtures.KEY)));
    writeSettings(Path.of(arguments[0]), store.address());
    HttpClient client = HttpClient.newHttpClient();
    for (int round = 0; round < ROUNDS; round++) {
      for (String path : List.of("safe", "unsafe", "stream", "resumable")) {
        send(client, path, round * 10L + path.length());
      }
      TimeUnit.MILLISECONDS.sleep(200);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void send(HttpClient client, String path, long id) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + FIRST_PORT + "/" + path + "/x"))
            .header("Authorization", "Bearer key")
            .header("X-Samphiredyke-Request-Id", "r-" + id)
            .header("X-Samphiredyke-Deadline-Ms", "2000")
            .header("X-Samphiredyke-Token-Usage", "100,20")
            .header("X-Samphiredyke-Prompt-Prefix", "5c1e07a2:60,91bd3f06:40")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    try {
      client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      // The gateway is still starting.
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  private static void writeSettings(Path file, String store) throws IOException {
    Files.write(
        file, PlatformFixtures.settings("training", "127.0.0.1", FIRST_PORT, List.of(), store));
  }
}
